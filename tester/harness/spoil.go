package harness

import (
	"fmt"
	"regexp"
	"strings"
)

// SpoiledStream is a body of events in which a server sent other bytes.
type SpoiledStream struct {
	Name, Body string
	// Ended is set if the server ends its answer behind Body. Otherwise it breaks off.
	Ended bool
}

// SpoilEverywhere returns the streams that result from sound if a server sends other bytes at any
// position, in place of the rest or in front of it, and ends its answer or breaks off.
func SpoilEverywhere(sound, other string) []SpoiledStream {
	var out []SpoiledStream
	for i := range len(sound) + 1 {
		for _, ended := range []bool{false, true} {
			for rest, name := range map[string]string{"": "in place of the rest", sound[i:]: "in front of the rest"} {
				out = append(out, SpoiledStream{Name: fmt.Sprintf("%s at %d, ended %v", name, i, ended), Body: sound[:i] + other + rest, Ended: ended})
			}
		}
	}
	return out
}

// numberedEvent matches an event with a number and data, and no other fields. dataPrefix matches
// what comes before a line of its data.
var (
	numberedEvent = regexp.MustCompile(`^\n*id: ?([0-9]+)((?:\ndata:[^\n]*)+)\n\n`)
	dataPrefix    = regexp.MustCompile(`(?m)^data: ?`)
)

// EventsOfRun returns the events with which a body begins that are numbered from 1 without gaps,
// as they were sent, and their data. whole is set if they are all of the body.
func EventsOfRun(body string) (raw, data []string, whole bool) {
	for strings.Trim(body, "\n") != "" {
		m := numberedEvent.FindStringSubmatch(body)
		if m == nil || m[1] != fmt.Sprint(len(raw)+1) {
			return raw, data, false
		}
		raw = append(raw, m[0])
		data = append(data, dataPrefix.ReplaceAllString(strings.TrimPrefix(m[2], "\n"), ""))
		body = body[len(m[0]):]
	}
	return raw, data, true
}
