package main

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/logservice"
	"github.com/banyanglade/banyanglade/internal/standin/members"
	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// args holds the flags.
type args struct {
	Places         []cluster.Place `arg:"--place,separate" placeholder:"REGION/DATA-CENTRE" help:"a data centre; repeatable [default: r1/dc1]"`
	ExitWithParent bool            `arg:"--exit-with-parent" help:"exit when standard input closes"`

	logArgs
	memberArgs
	engineArgs
	serviceArgs
}

type logArgs struct {
	LogListen        string        `arg:"--log-listen" default:"127.0.0.1:0" help:"listen address of the log service"`
	LogRetainRecords int           `arg:"--log-retain-records" help:"records kept a stream, 0 for all"`
	LogRetainAge     time.Duration `arg:"--log-retain-age" help:"age at which records are dropped, 0 for never"`
	LogAppendRate    float64       `arg:"--log-append-rate" help:"appends a second above which appends are refused, 0 for no limit"`
	LogAppendBurst   int           `arg:"--log-append-burst" help:"appends allowed at once, 0 for one second's worth"`
}

type memberArgs struct {
	MembersListen string        `arg:"--members-listen" default:"127.0.0.1:0" help:"listen address of the membership list"`
	MembersLag    time.Duration `arg:"--members-lag" help:"age of the list shown"`
}

type engineArgs struct {
	Engines         int           `arg:"--engines" default:"1" help:"engines a data centre"`
	EngineService   string        `arg:"--engine-service" default:"model" help:"service of the engines"`
	Slots           int           `arg:"--slots" help:"sequences that an engine runs at once"`
	StepBase        time.Duration `arg:"--step-base" help:"duration of an engine step besides the costs"`
	StepSequence    time.Duration `arg:"--step-sequence" help:"cost of each running sequence in a step, negative for none"`
	StepPrefill     time.Duration `arg:"--step-prefill" help:"cost of each prompt token processed in a step, negative for none"`
	PrefillChunk    int           `arg:"--prefill-chunk" help:"prompt tokens processed in a step at most"`
	CacheCapacity   int64         `arg:"--cache-capacity" help:"size of the prefix cache in tokens, negative for none"`
	LoadLag         time.Duration `arg:"--load-lag" help:"age of load reports"`
	CacheLag        time.Duration `arg:"--cache-lag" help:"delay of cache events"`
	CacheGap        float64       `arg:"--cache-gap" help:"share of cache events lost, 0 to 1"`
	CacheDuplicate  float64       `arg:"--cache-duplicate" help:"share of cache events shown twice, 0 to 1"`
	Seed            uint64        `arg:"--seed" help:"seed of the lost and doubled cache events"`
	KeepStreams     time.Duration `arg:"--keep-streams" help:"how long an ended stream can be resumed"`
	AttachDuplicate bool          `arg:"--attach-duplicates" help:"attach a repeated stream id to the known stream instead of status 409"`
	ChecksFencing   bool          `arg:"--checks-fencing" help:"engines refuse orders with an old fencing number"`
}

type serviceArgs struct {
	Tools        int           `arg:"--tools" default:"1" help:"tool targets a data centre"`
	ToolService  string        `arg:"--tool-service" default:"tool" help:"service of the tool targets"`
	ToolDelay    time.Duration `arg:"--tool-delay" help:"run time of a tool request"`
	Plain        int           `arg:"--plain" default:"1" help:"plain targets a data centre"`
	PlainService string        `arg:"--plain-service" default:"plain" help:"service of the plain targets"`
	PlainDelay   time.Duration `arg:"--plain-delay" help:"run time of a plain request"`
	AskByKey     bool          `arg:"--ask-by-key" help:"tool and plain targets answer for idempotency keys"`
	Dedupe       bool          `arg:"--dedupe" help:"tool and plain targets run an idempotency key once"`
}

// defaultArgs returns flags with the defaults that are constants of other packages.
func defaultArgs() args {
	var args args
	args.Slots = engine.DefaultSlots
	args.StepBase = engine.DefaultStepBase
	args.StepSequence = engine.DefaultStepPerSequence
	args.StepPrefill = engine.DefaultStepPerPrefillToken
	args.PrefillChunk = engine.DefaultPrefillChunk
	args.CacheCapacity = engine.DefaultCacheCapacity
	args.KeepStreams = engine.DefaultStreamRetention
	return args
}

func (a args) settings() cluster.Settings {
	places := a.Places
	if len(places) == 0 {
		places = []cluster.Place{{Region: "r1", DataCentre: "dc1"}}
	}
	return cluster.Settings{
		Places:         places,
		LogAddress:     a.LogListen,
		MembersAddress: a.MembersListen,
		Log:            a.logArgs.settings(),
		Members:        members.Settings{Lag: a.MembersLag},
		Engines:        a.engineGroup(),
		Tools:          a.serviceGroup(a.ToolService, a.Tools, a.ToolDelay),
		Plain:          a.serviceGroup(a.PlainService, a.Plain, a.PlainDelay),
	}
}

func (a logArgs) settings() logservice.Settings {
	return logservice.Settings{
		RetainRecords:    a.LogRetainRecords,
		RetainAge:        a.LogRetainAge,
		AppendsPerSecond: a.LogAppendRate,
		AppendBurst:      a.LogAppendBurst,
	}
}

func (a engineArgs) engineGroup() cluster.EngineGroup {
	return cluster.EngineGroup{
		Service: a.EngineService,
		Count:   a.Engines,
		Settings: engine.Settings{
			Model:            a.model(),
			LoadLag:          a.LoadLag,
			CacheLag:         a.CacheLag,
			CacheGap:         a.CacheGap,
			CacheDuplicate:   a.CacheDuplicate,
			Seed:             a.Seed,
			StreamRetention:  a.KeepStreams,
			AttachDuplicates: a.AttachDuplicate,
			ChecksFencing:    a.ChecksFencing,
		},
	}
}

func (a engineArgs) model() engine.ModelSettings {
	return engine.ModelSettings{
		Slots:               a.Slots,
		StepBase:            a.StepBase,
		StepPerSequence:     a.StepSequence,
		StepPerPrefillToken: a.StepPrefill,
		PrefillChunk:        a.PrefillChunk,
		CacheCapacity:       a.CacheCapacity,
	}
}

func (a serviceArgs) serviceGroup(name string, count int, delay time.Duration) cluster.ServiceGroup {
	return cluster.ServiceGroup{
		Service: name,
		Count:   count,
		Settings: service.Settings{
			ServeOutcomes: a.AskByKey,
			Dedupe:        a.Dedupe,
			Faults:        wire.ServiceFaults{DelayMS: int(delay.Milliseconds())},
		},
	}
}
