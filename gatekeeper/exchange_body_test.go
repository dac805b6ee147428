package gatekeeper_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// slowBody is a request body together with its connection. It pauses once, and a
// read fails at the connection's read deadline.
type slowBody struct {
	*httptest.ResponseRecorder
	rest     *strings.Reader
	pause    timer.Millis
	deadline time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (b *slowBody) SetReadDeadline(t time.Time) error { b.deadline = t; return nil }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	wait := b.pause.Duration()
	b.pause = 0
	if left := time.Until(b.deadline); !b.deadline.IsZero() && wait > left {
		time.Sleep(left)
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(wait)
	return b.rest.Read(p)
}

func (f *fixture) callSlowly(pause timer.Millis) *slowBody {
	b := &slowBody{ResponseRecorder: httptest.NewRecorder(), rest: strings.NewReader("body"), pause: pause}
	r := httptest.NewRequest(http.MethodPost, "http://h/open/1", b)
	f.gate.ServeHTTP(b, r)
	return b
}

// Callers that stop sending in the middle of a body must not occupy the host's
// memory and connections forever.
func TestStalledBodyIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.configure()
		f.limit(cataloger.Limits{IdleTimeout: 15000})
		b := f.callSlowly(14900)
		require.Equal(t, http.StatusOK, b.Code)
		require.True(t, b.deadline.IsZero(), "no deadline may end the answer")
		b = f.callSlowly(15100)
		require.Equal(t, http.StatusRequestTimeout, b.Code)
		require.Equal(t, "close", b.Header().Get("Connection"))
		require.NotEmpty(t, b.Header().Get("Retry-After"))
		require.Len(t, f.relay.calls, 1)
	})
}

func TestBodyThatIsTooLongIsRefused(t *testing.T) {
	f := newFixture()
	f.configure()
	f.limit(cataloger.Limits{BodyBytes: 3})
	require.Equal(t, http.StatusRequestEntityTooLarge, f.call("/open/1", "").Code)
	require.Equal(t, http.StatusRequestEntityTooLarge, f.callSlowly(0).Code, "length not stated")
	require.Empty(t, f.relay.calls)
}
