package relayer_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// All servers of a service reset every call. Each call may be tried at three
// servers, but the retry budget keeps the load from growing threefold.
func TestRetryBudgetBoundsLoadOnFailingService(t *testing.T) {
	f := newFixture(t, 6)
	reset := func(net.Conn, *http.Request) {}
	const calls = 60
	for range 3 * calls {
		f.scripts = append(f.scripts, reset)
	}
	for i := range uint64(calls) {
		o := f.relayer.Run(t.Context(), relayer.Call{
			ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: route(cataloger.Idempotent, false, 3),
			Service: "svc", Workspace: "w", Deadline: timer.System().Now() + 3*timer.Second, Suspect: suspector.Call{Fingerprint: i + 1},
		}, &sink{})
		require.IsType(t, relayer.Unknown{}, o)
	}
	require.LessOrEqual(t, len(f.seen()), calls+calls/4+3)
}

// Guards against a budget that is never earned: retries would end after the first few
// failures of a service that is well on the whole. All calls have one identifier and content,
// like repeats of one caller: they earn like others.
func TestEachCallEarnsAPartOfARetry(t *testing.T) {
	f := newFixture(t, 6)
	const rounds, callsPerFailure = 20, 5
	for range rounds {
		f.scripts = append(f.scripts, breakOff)
		for range callsPerFailure {
			f.scripts = append(f.scripts, text("200 OK", signed, "ok"))
		}
	}
	for i := range rounds * callsPerFailure {
		o, _ := f.run(route(cataloger.Idempotent, false, 2))
		require.IsType(t, relayer.Delivered{}, o, "call %d", i)
	}
}
