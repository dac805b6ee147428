package relayer_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// runWith runs a call of another caller with these headers.
func (f *fixture) runWith(h http.Header) relayer.Outcome {
	return f.relayer.Run(f.t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: h, Body: []byte("odd"), Route: route(cataloger.Idempotent, false, 3),
		Service: "svc", Workspace: "other", Deadline: f.clock.Now() + 3*timer.Second,
	}, &sink{})
}

// expecting answers 421 to requests that expect other weights, and 200 to others. Odd
// accepts encodings, conditions and ranges as a server may.
func expecting(c net.Conn, q *http.Request) {
	switch {
	case q.Header.Get("Expect-Version") != "":
		text("421 Misdirected Request", "Not-Run: 1\r\n", "")(c, q)
	case q.Header.Get("Accept-Encoding") != "" && q.Header.Get("Accept-Encoding") != "identity":
		text("200 OK", signed+"Content-Encoding: gzip\r\n", "ok")(c, q)
	case q.Header.Get("If-None-Match") != "":
		text("304 Not Modified", "", "")(c, q)
	default:
		text("200 OK", signed, "ok")(c, q)
	}
}

// One request that asked for weights which no server has got 421 from each of them, and none
// was used any more, by anybody. A caller's headers take no server away from others.
func TestHeadersOfACallerTakeNoServerAwayFromOthers(t *testing.T) {
	for name, h := range map[string]http.Header{
		"other weights": {"Expect-Version": {"2"}}, "encodings": {"Accept-Encoding": {"gzip, br"}}, "condition": {"If-None-Match": {`"x"`}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 6)
			for range 200 {
				f.scripts = append(f.scripts, expecting)
			}
			for range 5 {
				before := len(f.seen())
				f.runWith(h)
				require.LessOrEqual(t, len(f.seen())-before, 3, "one call is sent to few servers")
				for _, v := range f.current().ServersOf("svc") {
					require.False(t, f.departer.IsLeaving(v.Incarnation()))
					require.True(t, f.ejector.Usable(v.ID, false))
				}
			}
			o, _ := f.run(route(cataloger.Idempotent, false, 1))
			require.IsType(t, relayer.Delivered{}, o)
		})
	}
}

func TestAnswerThatNamesAServerTellsWhetherItIsTheOneThatWasMeant(t *testing.T) {
	for name, c := range map[string]struct {
		request http.Header
		answer  string
		gone    bool
	}{
		"another server":                   {http.Header{}, "Server-Id: other\r\n", true},
		"another server, with expectation": {http.Header{"Expect-Version": {"2"}}, "Server-Id: other\r\n", true},
		"the server itself":                {http.Header{}, "Server-Id: s0\r\n", false},
		"unnamed":                          {http.Header{}, "", true},
		"unnamed, with expectation":        {http.Header{"Expect-Version": {"2"}}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, text("421 Misdirected Request", c.answer, ""))
			require.IsType(t, relayer.NotRun{}, f.runWith(c.request))
			require.Equal(t, c.gone, f.departer.IsLeaving(f.current().Servers["s0"].Incarnation()))
		})
	}
}
