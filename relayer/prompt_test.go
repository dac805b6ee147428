package relayer_test

import (
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// runPrompt runs a call that differs from all others and whose prompt has these shared
// parts.
func (f *fixture) runPrompt(fingerprint uint64, parts ...uint64) relayer.Outcome {
	return f.relayer.Run(f.t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: route(cataloger.Stream, false, 1), Service: "svc",
		Deadline: f.clock.Now() + 3*timer.Second, Suspect: suspector.Call{Fingerprint: fingerprint, Parts: parts},
	}, &sink{})
}

// Different calls with one crashing part of their prompts were sent to servers without
// end. Sound calls that share their other part are answered between the crashes and
// after them.
func TestCallsWithACrashingPromptPartAreRefused(t *testing.T) {
	const common, crashing = 1, 2
	f := newFixture(t, 12)
	sound, sent := 0, 0
	for i := range uint64(10) {
		timer.Sleep(t.Context(), 120)
		f.mu.Lock()
		f.scripts = append(f.scripts[:0:0], events(1, 6, true))
		f.mu.Unlock()
		if _, ok := f.runPrompt(100+i, common, 50+i).(relayer.Delivered); ok {
			sound++
		}
		f.mu.Lock()
		f.scripts = append(f.scripts[:0:0], breakOff)
		f.mu.Unlock()
		if isNotRun(f.runPrompt(200+i, common, crashing)) {
			continue
		}
		sent++
		f.crash()
	}
	require.Equal(t, 10, sound)
	require.LessOrEqual(t, sent, 4)
	require.GreaterOrEqual(t, sent, 2)
}
