// Package explain tells the story of one request or program from the log lines
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

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// line is a log line that concerns what is asked for.
type line struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]any
	// position is the line's place in the input, for equal times.
	position int
}

// Timeline is what the logs say of a request or program.
type Timeline struct {
	id    string
	lines []line
	// dropped counts the log lines that instances say they dropped.
	dropped int
}

// Read gathers the lines that name an id, of a request or a program, from logs.
// Text before the JSON of a line is skipped, since log collectors add some.
func Read(id string, logs ...io.Reader) (*Timeline, error) {
	s := &Timeline{id: id}
	for _, r := range logs {
		if err := s.read(r); err != nil {
			return nil, err
		}
	}
	// Instances' clocks differ by little; lines of one instance keep their
	// order, as times of one clock grow.
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.position, b.position)) })
	return s, nil
}

func (s *Timeline) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		s.addLine(text[start:])
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// addLine keeps a line if it concerns the id. Lines that are not JSON are skipped:
// logs hold other programs' lines too.
func (s *Timeline) addLine(text []byte) {
	matches := bytes.Contains(text, []byte(s.id))
	if !matches && !bytes.Contains(text, []byte("log lines dropped")) {
		return
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(text, &fields); err != nil {
		return
	}
	if !matches {
		count, _ := fields["count"].(float64)
		s.dropped += int(count)
		return
	}
	l := line{message: stringField(fields["msg"]), instance: stringField(fields["instance"]), fields: fields, position: len(s.lines)}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields["time"]))
	if err == nil {
		l.at = at
	}
	for _, name := range []string{"time", "msg", "instance", "level"} {
		delete(fields, name)
	}
	s.lines = append(s.lines, l)
}

// stringField is a field as text, empty if it is none.
func stringField(v any) string {
	s, _ := v.(string)
	return s
}

// Write prints the story in order of time, with the cause at its end.
func (s *Timeline) Write(w io.Writer) error {
	var b strings.Builder
	for _, l := range s.lines {
		fmt.Fprintf(&b, "%s  %-24s %s%s\n", l.at.Format("15:04:05.000"), l.instance, l.message, formatFields(l.fields))
	}
	fmt.Fprintln(&b, s.Cause())
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

// Cause is the end of the story in a sentence.
func (s *Timeline) Cause() string {
	if len(s.lines) == 0 {
		return s.noMatch()
	}
	last := s.lastEnd()
	if last == nil {
		return "No line says how it ended: the instance may have ended first, or its answer was served as usual."
	}
	reason := stringField(last.fields["reason"])
	explained, ok := causes[reason]
	if !ok {
		explained = "it ended with reason " + reason
	}
	return "Cause: " + explained + "."
}

func (s *Timeline) noMatch() string {
	text := "No line names " + s.id + ". A request that is served as usual has a line at level DEBUG only."
	if s.dropped > 0 {
		text += fmt.Sprintf(" %d lines were dropped.", s.dropped)
	}
	return text
}

// lastEnd is the last line that says how a request ended badly, or the last of
// any that ended.
func (s *Timeline) lastEnd() *line {
	for i := len(s.lines) - 1; i >= 0; i-- {
		if s.lines[i].message == "request ended" {
			return &s.lines[i]
		}
	}
	return nil
}

// causes explains the reasons of internal/serve.
var causes = map[string]string{
	"served":                         "it was served",
	"target_answered_failure":        "the target itself answered with a failure, which was passed on",
	"malformed":                      "the request was malformed; the field detail says how",
	"body_too_large":                 "the body was longer than the operator's limit",
	"no_settings_yet":                "the instance had no settings: it had just started and read them from neither the store nor another instance",
	"no_route":                       "no route of the settings version matches the host and path",
	"settings_not_current":           "the settings have no route for the host and path, and the instance had not heard for too long which settings are in force; the field detail has their age",
	"unknown_key":                    "no organisation of the settings version holds the key, or the request carries none or more than one",
	"keys_not_current":               "the instance had not heard for too long which keys are in force; the field detail has the age of its settings",
	"over_organisation_limit":        "its organisation was over its limit; the field detail names the limit, the instance that deals it out and what that had left",
	"organisation_limit_not_known":   "no instance that deals out its organisation's limit answered in time; see \"allowances coordinated here\" lines",
	"no_target":                      "no target of the service was registered, or each was tried",
	"targets_refused":                "each target that was asked was full",
	"no_room":                        "the services that it needs had no room for it; the detail names the pool, its load and when to come back",
	"budget_spent":                   "the program's budget had no room; the line \"budget spent\" of the owner has the figures, and \"charged\" tells whether a loss of accounts was counted",
	"budget_owner_unreachable":       "no owner of the program's budget could be reached; see \"partition\" lines around that time",
	"budget_record_not_written":      "the program needed a record that the store did not take; see \"store lost\" and \"partition not claimed\" lines",
	"budget_held_by_turns_under_way": "other turns of the program held what was left of its budget for longer than a turn waits",
	"no_such_turn":                   "the turn that it continues does not exist or is past its retention; the line \"no such turn\" tells that every partition was read to its end",
	"conversation_not_read":          "the turn that it continues was not found, and not every partition could be read; see \"turn not found for now\" and \"turns not read\" lines",
	"turn_not_kept":                  "its turn could not be written to the store, or the store was known to be full, or away for longer than the caller would wait, before it began; see \"turns cannot be kept\" lines",
	"timed_out":                      "the time left or the route's timeout was over while a target worked on it",
	"timed_out_before_send":          "the time left was over before a target could be reached",
	"target_broke_off":               "the target broke off and the request may not be repeated",
	"stream_cut":                     "the stream broke midway and could not go on; the field detail says at what",
	"caller_left":                    "the caller left before the answer was whole",
	"caller_reads_nothing":           "the caller read nothing of its answer for seconds; the field detail tells for how long",
	"memory_short":                   "the instance had no memory left for it, nothing ran; the field detail has the bytes asked for and held",
}
