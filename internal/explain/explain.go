// Package explain reconstructs what happened to a request or program from the logs
// of any number of instances.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine is the size limit of a log line, in bytes.
const maxLine = 1 << 20

// line is a log line that contains the id.
type line struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]any
	// position is the index of the line in the input, which orders lines of equal
	// time.
	position int
}

// Timeline holds the log lines of a request or program in order of time.
type Timeline struct {
	id    string
	lines []line
	// dropped is the number of log lines that instances report as dropped.
	dropped int
}

// Read collects the lines that contain the id of a request or program from logs. It
// skips text before the JSON of a line, which log collectors may add.
func Read(id string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{id: id}
	for _, r := range logs {
		if err := t.read(r); err != nil {
			return nil, err
		}
	}
	// Lines of one instance keep their order. Those of several may be misordered
	// by the difference of the instances' clocks.
	slices.SortStableFunc(t.lines, func(a, b line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.position, b.position)) })
	return t, nil
}

func (t *Timeline) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		t.addLine(text[start:])
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// addLine adds a line if it contains the id. It skips lines that are not JSON, since
// logs may contain those of other programs.
func (t *Timeline) addLine(text []byte) {
	matches := bytes.Contains(text, []byte(t.id))
	if !matches && !bytes.Contains(text, []byte("log lines dropped")) {
		return
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(text, &fields); err != nil {
		return
	}
	if !matches {
		count, _ := fields["count"].(float64)
		t.dropped += int(count)
		return
	}
	l := line{message: stringField(fields["msg"]), instance: stringField(fields["instance"]), fields: fields, position: len(t.lines)}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields["time"]))
	if err == nil {
		l.at = at
	}
	for _, name := range []string{"time", "msg", "instance", "level"} {
		delete(fields, name)
	}
	t.lines = append(t.lines, l)
}

// stringField returns v if it is a string, else the empty string.
func stringField(v any) string {
	s, _ := v.(string)
	return s
}

// Write prints the lines in order of time, followed by the cause.
func (t *Timeline) Write(w io.Writer) error {
	var b strings.Builder
	for _, l := range t.lines {
		fmt.Fprintf(&b, "%s  %-24s %s%s\n", l.at.Format("15:04:05.000"), l.instance, l.message, formatFields(l.fields))
	}
	fmt.Fprintln(&b, t.Cause())
	_, err := io.WriteString(w, b.String())
	return err
}

func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		if v := fields[name]; v != "" && v != nil {
			fmt.Fprintf(&b, "  %s=%v", name, v)
		}
	}
	return b.String()
}

// Cause returns a sentence that explains how the request ended.
func (t *Timeline) Cause() string {
	if len(t.lines) == 0 {
		return t.noMatch()
	}
	last := t.lastEnd()
	if last == nil {
		return "No line reports how it ended: the instance may have ended before, or the request was served normally."
	}
	reason := stringField(last.fields["reason"])
	explained, ok := causes[reason]
	if !ok {
		explained = "it ended with reason " + reason
	}
	return "Cause: " + explained + "."
}

func (t *Timeline) noMatch() string {
	text := "No line names " + t.id + ". A request that is served normally is logged at level DEBUG only."
	if t.dropped > 0 {
		text += fmt.Sprintf(" %d lines were dropped.", t.dropped)
	}
	return text
}

// lastEnd returns the last line that reports the end of a request, nil if there is
// none.
func (t *Timeline) lastEnd() *line {
	for i := len(t.lines) - 1; i >= 0; i-- {
		if t.lines[i].message == "request ended" {
			return &t.lines[i]
		}
	}
	return nil
}

// causes describes the reasons that internal/serve logs.
var causes = map[string]string{
	"served":                           "it was served",
	"target_answered_failure":          "the target responded with a failure, which was forwarded to the caller",
	"malformed":                        "the request was malformed; see the field detail",
	"header_too_large":                 "the header exceeded the operator's limit",
	"no_memory_for_budgets":            "the owner of the program's budget holds as many programs as its memory allows; nothing ran",
	"body_too_large":                   "the body exceeded the operator's limit",
	"no_settings_yet":                  "the instance had no settings: it had just started and had not yet read them from the store or another instance",
	"no_route":                         "no route of the settings version matches the host and path",
	"settings_not_current":             "the settings have no route for the host and path, and the instance had not confirmed for too long that they are current; the field detail has their age",
	"unknown_key":                      "the key belongs to no organisation of the settings version, or the request has no key or several",
	"keys_not_current":                 "the instance had not confirmed for too long that its keys are current; the field detail has the age of its settings",
	"over_organisation_limit":          "its organisation exceeded its limit; the field detail has the limit, the instance that allocates it and the remaining allowance",
	"organisation_limit_not_known":     "no instance that allocates its organisation's limit replied in time; see \"allowances coordinated here\" lines",
	"no_target":                        "no target of the service was registered, or all were tried",
	"stream_version_unknown":           "its caller resumed a stream whose software version is known neither from its pin nor because the service has had one version; see the line \"version of a stream is unknown\"",
	"no_target_of_the_streams_version": "its caller resumed a stream of a software version of which no target is registered; the field detail has the version",
	"targets_refused":                  "all targets that were tried were at capacity",
	"no_room":                          "the services that it needs had no capacity; the field detail has the pool, its load and the retry delay",
	"budget_spent":                     "the turn exceeded the program's remaining budget; the owner's line \"budget spent\" has the token counts, and its field \"charged\" reports whether a loss of accounts was charged",
	"budget_owner_unreachable":         "no owner of the program's budget was reachable; see \"partition\" lines around that time",
	"budget_record_not_written":        "the program needed a record that the store did not accept; see \"store lost\" and \"partition not claimed\" lines",
	"budget_held_by_turns_under_way":   "other turns of the program held its remaining budget for longer than a turn waits",
	"no_such_turn":                     "its previous turn does not exist or its retention has passed; the line \"no such turn\" confirms that every partition was read to its end",
	"conversation_not_read":            "its previous turn was not found, and not every partition could be read; see \"turn not found for now\" and \"turns not read\" lines",
	"turn_not_kept":                    "its turn could not be written to the store, or the store was known before the turn to be full, or unavailable for longer than the caller would wait; see \"turns cannot be kept\" lines",
	"timed_out":                        "the time left or the route's timeout expired while a target worked on it",
	"timed_out_before_send":            "the time left expired before a target could be reached",
	"target_broke_off":                 "the target did not complete its response and the request may not be repeated",
	"targets_ended_under_request":      "three targets ended while they ran it, over all of its caller's attempts, so that it is refused for good; the field detail names them, and lines \"run lost\" with its work tell when",
	"stream_cut":                       "the stream was interrupted and could not be resumed; see the field detail",
	"caller_left":                      "the caller disconnected before the response was complete",
	"caller_reads_nothing":             "the caller stopped reading the response; the field detail has the duration",
	"memory_short":                     "the instance had no memory left for it and nothing ran; the field detail has the bytes requested and held",
}
