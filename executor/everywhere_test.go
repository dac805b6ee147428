package executor_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// Servers sent other bytes at any position of their answers. What is listed must be the output
// of a sound run, but for bytes that lie within an event, with the right number, from which their
// server went on as a sound one does: these cannot be told from that event.
func TestOtherBytesAtAnyPositionAreNoOutput(t *testing.T) {
	e := &engine{}
	sound := strings.Split(wholeOutput(), "\n")
	allowed := map[string]bool{wholeOutput(): true}
	for _, s := range harness.SpoilEverywhere(itemEvents(1), "data: error: worker lost\n\n") {
		_, data, whole := harness.EventsOfRun(s.Body)
		if s.Ended && whole {
			allowed[strings.Join(data, "\n")] = true
		}
		// The last event of a run that breaks off must not count.
		for n := range data {
			allowed[strings.Join(append(slices.Clone(data[:n]), sound[n:]...), "\n")] = true
		}
		if s.Ended {
			e.answers = append(e.answers, response("200 OK", "Content-Type: text/event-stream\r\n", s.Body))
		} else {
			e.answers = append(e.answers, unfinished(s.Body))
		}
	}
	items := len(e.answers)
	f := startWithServers(t, e, 40)
	f.submit(items)
	for _, r := range f.resultsWithin(items, 2*time.Minute) {
		require.False(t, r.Dead)
		require.True(t, allowed[string(r.Output)], "%q", r.Output)
	}
}
