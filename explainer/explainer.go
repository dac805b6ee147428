// Package explainer reconstructs the timeline of one request, job or batch item
// from the logs of any number of hosts.
//
// A log line belongs to the timeline if it contains the identifier, or, when an
// item is requested, if it is about the item's job. Lines about the backend
// servers and hosts involved are added as context if they were logged shortly
// before, during or shortly after the timeline.
//
// Hosts' clocks differ. For some lines the causal order is known; each host's
// clock is shifted by the smallest amount that satisfies that order, and the lines
// are then sorted by their shifted times.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Line is one log line.
type Line struct {
	// Millis is when the line was logged, in Unix milliseconds of its host's clock.
	Millis  float64
	Host    string
	Level   string
	Message string
	// Fields holds all other fields by name.
	Fields map[string]any
}

// Text returns the value of a field as text, or "" if the line has no such field.
func (l Line) Text(field string) string {
	if v, ok := l.Fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read decodes the log lines of r. It ignores everything before the first brace of
// a line, such as a log collector's timestamp, and skips the lines of other
// programs. A line longer than 1 MiB ends the reading with an error.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var out []Line
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		if l, ok := decode(s.Bytes()[i:]); ok {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// decode parses the JSON of one log line. It returns false for anything without a
// numeric time and a message.
func decode(b []byte) (Line, bool) {
	fields := make(map[string]any)
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if d.Decode(&fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	ts, ok := fields["ts"].(json.Number)
	if !ok {
		return l, false
	}
	l.Millis, _ = ts.Float64()
	l.Host, _ = fields["host"].(string)
	l.Level, _ = fields["level"].(string)
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "host", "level", "msg"} {
		delete(fields, name)
	}
	return l, l.Message != ""
}

// Timeline holds what the logs contain about one identifier.
type Timeline struct {
	ID    string
	Lines []Line
	// Context holds lines about the backend servers and hosts involved.
	Context []Line
	// ClockShifts is how far each host's clock was shifted, in milliseconds.
	ClockShifts map[string]float64
	// Missing describes what a complete timeline would contain and this one does not.
	Missing []string
}

// contextMillis is how long before and after the timeline context lines are
// included.
const contextMillis = 3000

// Explain returns the timeline of id, a request, job or item, from the lines of all
// hosts.
func Explain(id string, lines []Line) Timeline {
	t := Timeline{ID: id, ClockShifts: make(map[string]float64)}
	ids := map[string]bool{id: true}
	for _, l := range lines {
		if l.Text("item") == id && l.Text("job") != "" {
			ids[l.Text("job")] = true
		}
	}
	for _, l := range lines {
		if l.mentions(id) || (ids[l.Text("job")] && l.Text("item") == "") || ids[l.Text("request")] {
			t.Lines = append(t.Lines, l)
		}
	}
	t.alignClocks()
	t.Lines = t.sortByTime(t.Lines)
	t.addContext(lines)
	t.Missing = t.findMissing(lines)
	return t
}

// mentions reports whether the line contains the identifier itself, as a request, job
// or item or as the last element of its path.
func (l Line) mentions(id string) bool {
	if l.Text("request") == id || l.Text("job") == id || l.Text("item") == id {
		return true
	}
	return strings.HasSuffix(l.Text("path"), "/"+id)
}

// minOrderMillis is the minimum distance, after clock shifts, between two lines
// whose order is known.
const minOrderMillis = 0.001

// alignClocks shifts clocks so that every "job taken in" line precedes the
// "job submitted" line of the host that answered the caller: a caller gets its
// answer only after the job was accepted.
func (t *Timeline) alignClocks() {
	accepted := make(map[string]Line)
	for _, l := range t.Lines {
		if l.Message == "job taken in" {
			accepted[l.Text("job")] = l
		}
	}
	for _, l := range t.Lines {
		acceptedLine, ok := accepted[l.Text("request")]
		if l.Message != "job submitted" || !ok || acceptedLine.Host == l.Host {
			continue
		}
		if lag := acceptedLine.Millis - l.Millis; lag >= t.ClockShifts[l.Host] {
			t.ClockShifts[l.Host] = lag + minOrderMillis
		}
	}
}

// sortByTime returns a copy of lines, sorted by their shifted times.
func (t *Timeline) sortByTime(lines []Line) []Line {
	out := slices.Clone(lines)
	slices.SortStableFunc(out, func(a, b Line) int {
		switch d := t.alignedMillis(a) - t.alignedMillis(b); {
		case d < 0:
			return -1
		case d > 0:
			return 1
		}
		return 0
	})
	return out
}

// alignedMillis returns the time of l with its host's clock shift applied.
func (t *Timeline) alignedMillis(l Line) float64 { return l.Millis + t.ClockShifts[l.Host] }

// heldBack is the message of lines about calls that the limits of servers, or the shares of
// cold ones, held back. A call that was held back was sent to no server, so the lines about
// the limits and shares of all servers (limitMessages) are its context.
const (
	heldBack     = "held back by servers' limits"
	limitChanged = "server's limit changed"
	serverCold   = "server cold"
	coldShare    = "share of a cold server"
)

// notPlaced is the message of lines about requests that cannot be placed within their allowed
// regions. unknownRegions is that of lines about regions that a configuration names and no
// data centre has. Those are written once for each configuration, so the newest one is the
// context of a request however old it is.
const (
	notPlaced      = "no permitted place"
	unknownRegions = "allowed regions without a data centre"
)

// noServerLeft is the message of lines about calls whose servers are all in evacuated data
// centres, the other constants are the messages of lines about evacuations.
const (
	noServerLeft        = "no server outside evacuated data centres"
	evacuated           = "data centre evacuated"
	evacuatedUnknown    = "evacuated data centre is unknown"
	evacuationCancelled = "evacuation cancelled"
)

// limitMessages are the messages of lines about limits of servers and shares of cold ones.
var limitMessages = map[string]bool{limitChanged: true, serverCold: true, coldShare: true}

// contextMessages are the messages of lines that report a change in the state of a
// backend server or host.
var contextMessages = map[string]bool{
	"server known": true, "server gone": true, "server failed": true, "server refused": true,
	"starting": true, "leaving": true, "stopped": true, "store did not answer": true, "store answers again": true,
	"group given up": true, "group served": true, "manifest written": true, "log lines dropped": true,
	limitChanged: true, serverCold: true, coldShare: true, evacuated: true, evacuatedUnknown: true, evacuationCancelled: true,
	"server takes no requests for a while": true, "host known": true, "host gone": true, "configuration in force": true,
	unknownRegions: true, "items without a permitted place": true, "disks outside of the regions of a group's jobs": true,
}

// addContext fills t.Context from lines.
func (t *Timeline) addContext(lines []Line) {
	if len(t.Lines) == 0 {
		return
	}
	hosts, servers := make(map[string]bool), make(map[string]bool)
	allLimits, noPlace := false, false
	// inForce holds the evacuations that the context has already, by host and data centre.
	inForce := make(map[string]map[string]Line)
	for _, l := range t.Lines {
		hosts[l.Host] = true
		if _, ok := inForce[l.Host]; l.Message == noServerLeft && !ok {
			inForce[l.Host] = t.evacuationsBefore(l, lines)
			t.Context = slices.AppendSeq(t.Context, maps.Values(inForce[l.Host]))
		}
		allLimits = allLimits || l.Message == heldBack
		noPlace = noPlace || l.Message == notPlaced
		servers[l.Text("server")] = true
	}
	delete(servers, "")
	from, to := t.alignedMillis(t.Lines[0])-contextMillis, t.alignedMillis(t.Lines[len(t.Lines)-1])+contextMillis
	// newest holds the newest line about unknown regions before from, by host.
	newest := make(map[string]Line)
	for _, l := range lines {
		if noPlace && l.Message == unknownRegions && hosts[l.Host] && t.alignedMillis(l) < from {
			newest[l.Host] = l
			continue
		}
		at := t.alignedMillis(l)
		if !contextMessages[l.Message] || at < from || at > to || !hosts[l.Host] || l.mentions(t.ID) {
			continue
		}
		evacuation := l.Message == evacuated || l.Message == evacuatedUnknown
		if evacuation && inForce[l.Host][l.Text("data-centre")].Millis == l.Millis {
			continue
		}
		if v := l.Text("server"); v == "" || servers[v] || (allLimits && limitMessages[l.Message]) {
			t.Context = append(t.Context, l)
		}
	}
	t.Context = t.sortByTime(slices.AppendSeq(t.Context, maps.Values(newest)))
}

// evacuationsBefore returns the lines of the host of l about the data centres that were
// evacuated when l was logged, however long before, by data centre.
func (t *Timeline) evacuationsBefore(l Line, lines []Line) map[string]Line {
	inForce := make(map[string]Line)
	for _, e := range t.sortByTime(lines) {
		if e.Host != l.Host || e.Millis > l.Millis {
			continue
		}
		switch e.Message {
		case evacuated, evacuatedUnknown:
			inForce[e.Text("data-centre")] = e
		case evacuationCancelled:
			delete(inForce, e.Text("data-centre"))
		}
	}
	return inForce
}

// endMessages are the messages of lines with which a request, the submission of a
// job or an item ends.
var endMessages = map[string]bool{
	"delivered": true, "refused": true, "broken off": true, "caller left": true,
	"job submitted": true, "job called": true, "item listed": true,
}

// findMissing describes what the timeline lacks, as far as lines show it.
func (t *Timeline) findMissing(lines []Line) []string {
	if len(t.Lines) == 0 {
		return []string{fmt.Sprintf("no log line contains %s: the logs of the host that received it were not given, or its lines were dropped", t.ID)}
	}
	var out []string
	ended := false
	for _, l := range t.Lines {
		ended = ended || endMessages[l.Message]
	}
	if !ended {
		out = append(out, "no log line reports its end: the process exited before it ended, or the line was dropped")
	}
	for _, l := range t.Context {
		if l.Message == "log lines dropped" {
			out = append(out, "host "+l.Host+" dropped log lines during this time: "+l.Text("kinds"))
		}
	}
	if n := len(hostsOf(lines)); n == 1 {
		out = append(out, "only the logs of one host were given")
	}
	return out
}

func hostsOf(lines []Line) map[string]bool {
	out := make(map[string]bool)
	for _, l := range lines {
		out[l.Host] = true
	}
	return out
}

// Write prints the timeline to w. Context lines are marked with "~", and times are
// in milliseconds since the first line.
func (t Timeline) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d lines, %d context lines\n", t.ID, len(t.Lines), len(t.Context))
	for _, h := range slices.Sorted(maps.Keys(t.ClockShifts)) {
		fmt.Fprintf(&b, "clock of %s shifted by %.0f ms\n", h, t.ClockShifts[h])
	}
	all := t.sortByTime(append(slices.Clone(t.Lines), t.Context...))
	for _, l := range all {
		mark := " "
		if contextMessages[l.Message] && !l.mentions(t.ID) {
			mark = "~"
		}
		fmt.Fprintf(&b, "%s %9.0f ms  %-20s %s%s\n", mark, t.alignedMillis(l)-t.alignedMillis(all[0]), l.Host, l.Message, l.formatFields())
	}
	for _, m := range t.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (l Line) formatFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
