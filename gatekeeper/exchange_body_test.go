package gatekeeper_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// slowBody is a request body together with its connection. It pauses once, and a
// read fails at the connection's read deadline.
type slowBody struct {
	*httptest.ResponseRecorder
	rest  *strings.Reader
	pause timer.Millis

	mu       sync.Mutex
	deadline time.Time
}

// readStep is how often a read that waits checks its deadline.
const readStep timer.Millis = 50

// SetReadDeadline is called by http.ResponseController, also while a read waits.
func (b *slowBody) SetReadDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	return nil
}

func (b *slowBody) expired() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.deadline.IsZero() && !time.Now().Before(b.deadline)
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	wait := b.pause
	b.pause = 0
	for ; wait > 0; wait -= readStep {
		if b.expired() {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(readStep.Duration())
	}
	if b.expired() {
		return 0, os.ErrDeadlineExceeded
	}
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

// Callers send long bodies at the same time, each within the limit of the configuration. What
// does not fit into the host's memory is refused as not run; short bodies are taken.
func TestBodiesStayWithinTheMemoryOfTheHost(t *testing.T) {
	f := newFixture()
	f.configure()
	long := func() *strings.Reader { return strings.NewReader(strings.Repeat("x", memoryForBodies*2/5)) }
	var third, short, unstated *httptest.ResponseRecorder
	nested := 0
	f.relay.during = func(relayer.Call) {
		switch nested++; nested {
		case 1:
			f.send("/open/2", "", long())
		case 2:
			third = f.send("/open/3", "", long())
			unstated = f.send("/open/4", "", io.MultiReader(long()))
			short = f.send("/open/5", "", strings.NewReader("short"))
			require.LessOrEqual(t, f.memory.InUse(), int64(memoryForBodies))
		}
	}
	require.Equal(t, http.StatusOK, f.send("/open/1", "", long()).Code)
	for _, refused := range []*httptest.ResponseRecorder{third, unstated} {
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		require.NotEmpty(t, refused.Header().Get("Retry-After"))
	}
	require.Equal(t, http.StatusOK, short.Code)
	require.Len(t, f.relay.calls, 3)
	require.Zero(t, f.memory.InUse())
}

// A planned stop has gone on for as long as callers use an earlier list of hosts. Requests
// that come after that, and bodies that have not arrived, were passed on to servers and then
// cut without an answer.
func TestRequestsThatComeLateInAStopAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.configure()
		f.limit(cataloger.Limits{IdleTimeout: 15000})
		f.gate.Drain()
		require.Equal(t, http.StatusOK, f.call("/open/1", "").Code, "callers use an earlier list of hosts")
		time.AfterFunc(time.Second, f.gate.StopAdmitting)
		began := time.Now()
		stalled := f.callSlowly(14000)
		require.InDelta(t, time.Second, time.Since(began), float64(readStep.Duration()), "a body that has not arrived")
		late := f.callSlowly(100)
		whole := f.call("/open/2", "")
		job := f.call("/batch/2", "k")
		for _, refused := range []*httptest.ResponseRecorder{stalled.ResponseRecorder, late.ResponseRecorder, whole, job} {
			require.Equal(t, http.StatusServiceUnavailable, refused.Code)
			require.NotEmpty(t, refused.Header().Get("Retry-After"))
			require.Equal(t, "close", refused.Header().Get("Connection"))
		}
		require.Len(t, f.relay.calls, 1)
		require.Empty(t, f.jobs.submitted)
	})
}

// The configuration allowed a body that can never be taken into the host's memory. It was
// refused as if it could be sent again soon.
func TestBodyThatNeverFitsIsRefusedWithTheLimit(t *testing.T) {
	f := newFixture()
	f.configure()
	f.limit(cataloger.Limits{BodyBytes: 10 * memoryForBodies})
	long := strings.NewReader(strings.Repeat("x", memoryForBodies/2+1))
	unstated := io.MultiReader(strings.NewReader(strings.Repeat("x", memoryForBodies/2+1)))
	for _, body := range []io.Reader{long, unstated} {
		r := f.send("/open/1", "", body)
		require.Equal(t, http.StatusRequestEntityTooLarge, r.Code)
		require.Empty(t, r.Header().Get("Retry-After"))
		require.Contains(t, r.Body.String(), strconv.Itoa(memoryForBodies/2))
	}
	require.Equal(t, http.StatusOK, f.send("/open/1", "", strings.NewReader(strings.Repeat("x", memoryForBodies/2))).Code)
	require.Zero(t, f.memory.InUse())
}
