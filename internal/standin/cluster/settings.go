// Package cluster starts a set of stand-ins in one process: a log service, a
// membership list, and the targets of several data centres, each on its own
// port and registered in the membership list.
package cluster

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/logservice"
	"github.com/banyanglade/banyanglade/internal/standin/members"
	"github.com/banyanglade/banyanglade/internal/standin/service"
)

// Place identifies a data centre and its region. Its text form is
// "region/data-centre".
type Place struct {
	Region     string
	DataCentre string
}

// UnmarshalText parses "region/data-centre".
func (p *Place) UnmarshalText(text []byte) error {
	region, dataCentre, ok := strings.Cut(string(text), "/")
	if !ok || region == "" || dataCentre == "" {
		return errors.Newf("place %q: expected region/data-centre", text)
	}
	p.Region = region
	p.DataCentre = dataCentre
	return nil
}

// Settings configure a cluster.
type Settings struct {
	// Places are the data centres. Each gets the same targets.
	Places []Place
	// LogAddress and MembersAddress are the listen addresses of the log service
	// and the membership list; if empty, a free loopback port is used. Targets
	// always listen on a free loopback port.
	LogAddress     string
	MembersAddress string
	Log            logservice.Settings
	Members        members.Settings
	// Engines, Tools and Plain are the targets of each data centre.
	Engines EngineGroup
	Tools   ServiceGroup
	Plain   ServiceGroup
}

// EngineGroup describes the engines of each data centre.
type EngineGroup struct {
	// Service is the name of the service that they belong to.
	Service string
	// Count is the number of engines per data centre.
	Count int
	// Settings apply to all engines; the cluster sets ID and adds the number of
	// engines started before to Seed.
	Settings engine.Settings
}

// ServiceGroup describes the tool or plain targets of each data centre.
type ServiceGroup struct {
	// Service is the name of the service that they belong to.
	Service string
	// Count is the number of targets per data centre.
	Count int
	// Settings apply to all targets; the cluster sets ID.
	Settings service.Settings
}
