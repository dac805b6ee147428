package gatekeeper_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/stretchr/testify/require"
)

// endlessRelay writes to a caller until a write fails.
type endlessRelay struct{}

func (endlessRelay) Run(_ context.Context, _ relayer.Call, s relayer.Sink) relayer.Outcome {
	_ = s.Head(http.StatusOK, http.Header{}, -1)
	time.AfterFunc(200*time.Millisecond, s.Abort)
	for s.Write(make([]byte, 32<<10)) == nil {
	}
	return relayer.CallerGone{}
}

// Guards against a write to a caller that reads nothing and can't be ended, and against an
// answer that looks whole to its caller then.
func TestAbortEndsAWriteToACallerThatReadsNothing(t *testing.T) {
	f := newFixture()
	f.configure()
	f.setRelay(endlessRelay{})
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		f.gate.ServeHTTP(w, r)
	}))
	defer server.Close()
	q, err := http.NewRequest(http.MethodPost, server.URL+"/open/1", nil)
	require.NoError(t, err)
	q.Host = "h"
	a, err := server.Client().Do(q)
	require.NoError(t, err)
	defer func() { _ = a.Body.Close() }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the write goes on")
	}
	_, err = io.Copy(io.Discard, a.Body)
	require.Error(t, err)
}
