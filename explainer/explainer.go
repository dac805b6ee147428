// Package explainer tells the story of one request, job or item from the logs of
// any number of hosts.
//
// A line belongs to the story if it names the identifier, or the job of an item
// that is asked for, or if it tells of a backend server or host that takes part,
// shortly before or while it does. Hosts' clocks differ: lines are put in order
// by their times after each host's clock is moved by as little as the known order
// of some lines demands.
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
	// Millis is when it was written, in Unix milliseconds of its host's clock.
	Millis  float64
	Host    string
	Level   string
	Message string
	// Fields are all others, by name.
	Fields map[string]any
}

// Text is the value of a field as text; empty when there is none.
func (l Line) Text(field string) string {
	if v, ok := l.Fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Read decodes the log lines of r. What stands before the first brace of a line,
// such as a collector's own time, is passed over, as are lines of other programs.
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
	for _, known := range []string{"ts", "host", "level", "msg"} {
		delete(fields, known)
	}
	return l, l.Message != ""
}

// Story is what the logs say of one identifier.
type Story struct {
	ID    string
	Lines []Line
	// Context are lines about backend servers and hosts that take part.
	Context []Line
	// Shifts are by how many milliseconds hosts' clocks were moved.
	Shifts map[string]float64
	// Missing says what a whole story would have and this one lacks.
	Missing []string
}

// contextMillis is how long before the story lines about its servers and hosts
// are shown.
const contextMillis = 3000

// Explain picks the story of id out of lines.
func Explain(id string, lines []Line) Story {
	s := Story{ID: id, Shifts: make(map[string]float64)}
	ids := map[string]bool{id: true}
	for _, l := range lines {
		if l.Text("item") == id && l.Text("job") != "" {
			ids[l.Text("job")] = true
		}
	}
	for _, l := range lines {
		if l.about(id) || (ids[l.Text("job")] && l.Text("item") == "") || ids[l.Text("request")] {
			s.Lines = append(s.Lines, l)
		}
	}
	s.align()
	s.Lines = s.ordered(s.Lines)
	s.addContext(lines)
	s.Missing = s.missing(lines)
	return s
}

// about says whether the line names the identifier itself.
func (l Line) about(id string) bool {
	if l.Text("request") == id || l.Text("job") == id || l.Text("item") == id {
		return true
	}
	return strings.HasSuffix(l.Text("path"), "/"+id)
}

// leastMillis is by how much two lines differ whose order is known.
const leastMillis = 0.001

// align moves clocks so that a job was taken in before its caller was told.
func (s *Story) align() {
	taken := make(map[string]Line)
	for _, l := range s.Lines {
		if l.Message == "job taken in" {
			taken[l.Text("job")] = l
		}
	}
	for _, l := range s.Lines {
		t, ok := taken[l.Text("request")]
		if l.Message != "job submitted" || !ok || t.Host == l.Host {
			continue
		}
		if late := t.Millis - l.Millis; late >= s.Shifts[l.Host] {
			s.Shifts[l.Host] = late + leastMillis
		}
	}
}

func (s *Story) ordered(lines []Line) []Line {
	out := slices.Clone(lines)
	slices.SortStableFunc(out, func(a, b Line) int {
		switch d := s.at(a) - s.at(b); {
		case d < 0:
			return -1
		case d > 0:
			return 1
		}
		return 0
	})
	return out
}

func (s *Story) at(l Line) float64 { return l.Millis + s.Shifts[l.Host] }

// contextMessages are lines that explain what befell a server or host.
var contextMessages = map[string]bool{
	"server known": true, "server gone": true, "server failed": true, "server refused": true,
	"starting": true, "leaving": true, "stopped": true, "store did not answer": true, "store answers again": true,
	"group given up": true, "group served": true, "manifest written": true, "log lines dropped": true,
	"host known": true, "host gone": true, "configuration in force": true,
}

func (s *Story) addContext(lines []Line) {
	if len(s.Lines) == 0 {
		return
	}
	hosts, servers := make(map[string]bool), make(map[string]bool)
	for _, l := range s.Lines {
		hosts[l.Host] = true
		servers[l.Text("server")] = true
	}
	delete(servers, "")
	from, to := s.at(s.Lines[0])-contextMillis, s.at(s.Lines[len(s.Lines)-1])+contextMillis
	for _, l := range lines {
		if !contextMessages[l.Message] || s.at(l) < from || s.at(l) > to || !hosts[l.Host] || l.about(s.ID) {
			continue
		}
		if v := l.Text("server"); v == "" || servers[v] {
			s.Context = append(s.Context, l)
		}
	}
	s.Context = s.ordered(s.Context)
}

// endings are the lines with which a request, a job's submission or an item ends.
var endings = map[string]bool{
	"delivered": true, "refused": true, "broken off": true, "caller left": true,
	"job submitted": true, "job called": true, "item listed": true,
}

func (s *Story) missing(lines []Line) []string {
	if len(s.Lines) == 0 {
		return []string{fmt.Sprintf("no line names %s: the logs of the host that took it are not here, or were dropped", s.ID)}
	}
	var out []string
	ended := false
	for _, l := range s.Lines {
		ended = ended || endings[l.Message]
	}
	if !ended {
		out = append(out, "no line says how it ended: the process ended first, or the line was dropped")
	}
	for _, l := range s.Context {
		if l.Message == "log lines dropped" {
			out = append(out, "host "+l.Host+" dropped log lines at that time: "+l.Text("kinds"))
		}
	}
	if n := len(hostsOf(lines)); n == 1 {
		out = append(out, "the logs are of one host only")
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

// Write prints the story.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d lines, %d of context\n", s.ID, len(s.Lines), len(s.Context))
	for _, h := range slices.Sorted(maps.Keys(s.Shifts)) {
		fmt.Fprintf(&b, "clock of %s moved by %.0f ms\n", h, s.Shifts[h])
	}
	all := s.ordered(append(slices.Clone(s.Lines), s.Context...))
	for _, l := range all {
		mark := " "
		if contextMessages[l.Message] && !l.about(s.ID) {
			mark = "~"
		}
		fmt.Fprintf(&b, "%s %9.0f ms  %-20s %s%s\n", mark, s.at(l)-s.at(all[0]), l.Host, l.Message, l.fields())
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (l Line) fields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
