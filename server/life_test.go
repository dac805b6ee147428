package server_test

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestDrainingHostIsNotListed(t *testing.T) {
	h := newHarness(t, answerWith("{}"), nil)
	hosts := func() response { return h.do(h.request("GET", "/v1/hosts", "")) }
	require.Contains(t, hosts().body, `"address":"127.0.0.1:1"`)
	require.Contains(t, hosts().body, `"address":"127.0.0.1:2"`)
	require.Equal(t, 200, h.do(h.request("GET", "/readyz", "")).status)
	h.server.Drain()
	require.NotContains(t, hosts().body, `"address":"127.0.0.1:1"`)
	require.Contains(t, hosts().body, `"address":"127.0.0.1:2"`)
	require.Equal(t, 503, h.do(h.request("GET", "/readyz", "")).status)
	a := h.do(h.request("POST", "/v1/chat/completions", chatBody))
	require.Equal(t, 200, a.status, "calls are served while draining")
	require.True(t, a.closes)
}

func TestCloseWaitsForOpenCalls(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	h := newHarness(t, doerFunc(func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		close(begun)
		<-finish
		return answerWith(`{"id":"late"}`)(ctx, r, s)
	}), func(o *server.Options) { o.DrainTimeout = 5000 })
	answers := make(chan response)
	go func() { answers <- h.do(h.request("POST", "/v1/chat/completions", chatBody)) }()
	<-begun
	closed := make(chan error)
	go func() { closed <- h.server.Close() }()
	select {
	case err := <-closed:
		require.Fail(t, "Close did not wait", "%v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	require.Contains(t, (<-answers).body, "late")
	require.NoError(t, <-closed)
}

// A call that came while the last ones ended was run, and cancelled when the time for them
// was over.
func TestCallsThatComeDuringCloseAreRefusedAsNotRun(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	h := newHarness(t, doerFunc(func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		if runs.Add(1) == 1 {
			close(begun)
		}
		<-finish
		return answerWith("{}")(ctx, r, s)
	}), func(o *server.Options) { o.DrainTimeout = 5000 })
	open := make(chan response)
	go func() { open <- h.do(h.request("POST", "/v1/chat/completions", chatBody)) }()
	<-begun
	closed := make(chan error)
	go func() { closed <- h.server.Close() }()
	require.Eventually(t, func() bool { return h.do(h.request("GET", "/readyz", "")).status == 503 }, 5*time.Second, time.Millisecond)
	late := h.do(h.request("POST", "/v1/chat/completions", chatBody))
	require.Equal(t, 503, late.status)
	require.Contains(t, late.body, "host-leaving")
	close(finish)
	require.Equal(t, 200, (<-open).status)
	require.NoError(t, <-closed)
	require.EqualValues(t, 1, runs.Load())
}

// sendRaw sends text on a new connection and returns the response.
func (h *harness) sendRaw(text string) *http.Response {
	c, err := h.dial()
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(h.t, err)
	require.NoError(h.t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(h.t, err)
	return a
}

// The server answered a request that it had not read completely and closed the
// connection at once. The caller's next write then failed, and it did not get the answer.
func TestAnswerToAnUnreadRequestReachesTheCaller(t *testing.T) {
	for _, perAddress := range []int{0, 100} {
		h := newLoopbackHarness(t, answerWith("{}"), func(o *server.Options) { o.MaxBody, o.MaxConnectionsPerAddress = 4096, perAddress })
		authorization := "Host: host\r\nAuthorization: Bearer " + testKey + "\r\n"
		piece := strings.Repeat("a", 4096)
		for status, text := range map[int]string{
			431: "GET /v1/models HTTP/1.1\r\nHost: host\r\nX-Long: " + strings.Repeat("a", 20000),
			413: "POST /v1/chat/completions HTTP/1.1\r\n" + authorization + "Content-Length: 900000\r\n\r\n" + piece,
		} {
			c, err := h.dial()
			require.NoError(t, err)
			_, err = io.WriteString(c, text)
			require.NoError(t, err)
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			r := bufio.NewReader(c)
			_, err = r.Peek(1)
			require.NoError(t, err, "no answer before the whole request was sent")
			for range 100 {
				_, err = io.WriteString(c, piece)
				require.NoError(t, err, "the connection was reset while the request was being sent")
			}
			a, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, status, a.StatusCode)
			_, err = io.ReadAll(a.Body)
			require.NoError(t, err)
			require.NoError(t, c.Close())
		}
	}
}

func TestIncompleteRequestsAreAnsweredAndAffectNoOther(t *testing.T) {
	h := newHarness(t, answerWith("{}"), func(o *server.Options) { o.ReadTimeout = 1000 })
	authorization := "Host: host\r\nAuthorization: Bearer " + testKey + "\r\n"
	complete := "POST /v1/chat/completions HTTP/1.1\r\n" + authorization + "Content-Length: " + strconv.Itoa(len(chatBody)) + "\r\n\r\n" + chatBody
	for name, c := range map[string]struct {
		text   string
		status int
		code   string
	}{
		"half a header":      {"POST /v1/chat/completions HTTP/1.1\r\nHost: ga", 408, "request-timeout"},
		"half a body":        {"POST /v1/chat/completions HTTP/1.1\r\n" + authorization + "Content-Length: 100\r\n\r\n{\"mod", 408, "request-timeout"},
		"half a chunk":       {"POST /v1/chat/completions HTTP/1.1\r\n" + authorization + "Transfer-Encoding: chunked\r\n\r\n20\r\n{\"mod", 408, "request-timeout"},
		"broken chunk":       {"POST /v1/chat/completions HTTP/1.1\r\n" + authorization + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "malformed-request"},
		"no HTTP":            {"hello\r\n\r\n", 400, "malformed-request"},
		"bad header":         {"GET /healthz HTTP/1.1\r\nHost host\r\n\r\n", 400, "malformed-request"},
		"two lengths":        {"POST /v1/chat/completions HTTP/1.1\r\n" + authorization + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n{}", 400, "malformed-request"},
		"key sent in halves": {"POST /v1/chat/completions HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer " + testKey[:10], 408, "request-timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := h.sendRaw(c.text)
			b, err := io.ReadAll(a.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, a.StatusCode, string(b))
			require.Contains(t, string(b), `"code":"`+c.code+`"`)
			require.Equal(t, "true", a.Header.Get("jackdawgate-not-run"))
			// Kept connections may be unused for as long as the host waits for a request.
			require.Equal(t, 200, h.sendRaw(complete).StatusCode)
		})
	}
	t.Cleanup(func() { require.NotContains(t, h.logs.String(), testKey[:10]) })
}

// TestCallNotAdmittedByLimiterHasRetryDelay checks that a call which the limiter does not admit
// is not run, and that the response has the retry delay of the decision.
func TestCallNotAdmittedByLimiterHasRetryDelay(t *testing.T) {
	decisions := map[string]struct {
		d      server.Decision
		status int
		code   string
		after  string
	}{
		"refused": {server.Refused{RetryAfter: 1500}, 429, "rate-exceeded", "1500"},
		"unknown": {server.Unknown{Reason: "owner-unreachable", RetryAfter: 800}, 503, "limit-unknown", "800"},
	}
	for name, c := range decisions {
		t.Run(name, func(t *testing.T) {
			called := false
			h := newHarness(t, doerFunc(func(context.Context, requester.Request, requester.Sink) requester.Outcome {
				called = true
				return requester.NotRun{}
			}), func(o *server.Options) { o.Limiter = limiterFunc(func(string) server.Decision { return c.d }) })
			a := h.do(h.request("POST", "/v1/chat/completions", chatBody))
			require.False(t, called)
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.code, a.code)
			require.Equal(t, c.after, a.header.Get("retry-after-ms"))
			require.Equal(t, "true", a.header.Get("jackdawgate-not-run"))
		})
	}
}

// TestNotRunHeaderIsOnlyOnCallsNotRun checks that the header jackdawgate-not-run
// is set only for calls that have not run, and is never copied from a backend
// server.
func TestNotRunHeaderIsOnlyOnCallsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		outcome requester.Outcome
		status  int
		notRun  string
		retry   string
	}{
		"not run":     {requester.NotRun{Code: "no-backend-server", RetryAfter: 1000}, 503, "true", ""},
		"suspect":     {requester.NotRun{Code: "request-suspected"}, 422, "true", "false"},
		"maybe run":   {requester.MaybeRun{Code: "connection-lost"}, 502, "", "false"},
		"timeout":     {requester.MaybeRun{Code: "timeout"}, 504, "", "false"},
		"lying reply": {requester.Answered{Status: 200}, 200, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, doerFunc(func(_ context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
				if _, ok := c.outcome.(requester.Answered); ok {
					_ = s.Head(200, []requester.Header{{Name: "Jackdawgate-Not-Run", Value: "true"}})
				}
				return c.outcome
			}), nil)
			a := h.do(h.request("POST", "/dockets/1", "x"))
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.notRun, a.header.Get("jackdawgate-not-run"))
			require.Equal(t, c.retry, a.header.Get("x-should-retry"))
		})
	}
}

// changer is a Changer that records the last change. It reports a conflict for
// the identifier "taken".
type changer struct{ got registrar.Change }

func (c *changer) Change(_ context.Context, id string, change registrar.Change) (administrator.ChangeResponse, error) {
	c.got = change
	if id == "taken" {
		return administrator.ChangeResponse{}, &registrar.ConflictError{ID: id}
	}
	return administrator.ChangeResponse{ID: id, Version: 9, State: administrator.ChangeAccepted}, nil
}

func (c *changer) Remove(context.Context, administrator.RemoveRequest) (administrator.ChangeResponse, error) {
	return administrator.ChangeResponse{}, &registrar.RefusedError{Code: "unknown-host", Name: "x"}
}

// TestOperatorRequestsNeedOnlyTheOperatorsToken checks that operators' requests
// are served with the operators' token only, also while the host has no
// permission to act.
func TestOperatorRequestsNeedOnlyTheOperatorsToken(t *testing.T) {
	c := &changer{}
	h := newHarness(t, answerWith("{}"), func(o *server.Options) { o.Changer = c })
	h.viewer.set(func(s *coordinator.Snapshot) { s.PermittedUntil = 0 })
	send := func(method, path, body, token string) response {
		r := h.request(method, path, body)
		r.Header.Set("Authorization", "Bearer "+token)
		return h.do(r)
	}
	change := `{"id":"c1","change":{"set-limit":{"workspace":"kitchen","rate-per-second":5,"burst":9}}}`
	require.Equal(t, "admin-token-invalid", send("POST", administrator.ChangesPath, change, testKey).code)
	require.Equal(t, "admin-token-invalid", send("GET", administrator.RecordPath, "", "").code)
	a := send("POST", administrator.ChangesPath, change, "operators-token")
	require.Equal(t, 200, a.status, a.body)
	require.Equal(t, registrar.SetLimit{Workspace: "kitchen", RatePerSecond: 5, Burst: 9}, c.got)
	require.Equal(t, "change-id-conflict", send("POST", administrator.ChangesPath, strings.Replace(change, "c1", "taken", 1), "operators-token").code)
	require.Equal(t, "unknown-host", send("POST", administrator.RemovePath, `{"id":"r","name":"x"}`, "operators-token").code)
	require.Equal(t, "invalid-json", send("POST", administrator.ChangesPath, "{", "operators-token").code)

	record := send("GET", administrator.RecordPath, "", "operators-token").body
	require.Contains(t, record, `"k1"`)
	hash := base64.StdEncoding.EncodeToString(h.viewer.View().Record.Keys["k1"].Hash)
	require.NotContains(t, record, hash)
	var st administrator.Status
	require.NoError(t, json.Unmarshal([]byte(send("GET", administrator.StatusPath, "", "operators-token").body), &st))
	require.Equal(t, "h0", st.Host)
	require.Len(t, st.Servers, 2)
}

// failingUsage is a source of usage reports that can't compute any.
type failingUsage struct{}

func (failingUsage) WriteReport(context.Context, io.Writer, timer.Millis, timer.Millis) error {
	return &recorder.FaultError{Kind: recorder.FaultUnknownKey, Host: "h2", Incarnation: "i7"}
}

func (failingUsage) WriteRecords(context.Context, io.Writer, timer.Millis, timer.Millis) error {
	return nil
}

// TestUsageReportThatFailsIsAnswered guards against an operator who asks for a bill that
// can't be computed and gets a closed connection without any answer.
func TestUsageReportThatFailsIsAnswered(t *testing.T) {
	h := newHarness(t, answerWith("{}"), func(o *server.Options) { o.Usage = failingUsage{} })
	r := h.request("GET", administrator.UsagePath, "")
	r.Header.Set("Authorization", "Bearer operators-token")
	a := h.do(r)
	require.Equal(t, 500, a.status)
	require.Equal(t, administrator.CodeNoReport, a.code)
	require.Contains(t, a.body, "h2")
	require.Contains(t, a.body, "unknown-key")
}

// TestCloseEndsConnectionsWithIncompleteRequests checks that a request which
// never arrives completely does not keep Close from returning.
func TestCloseEndsConnectionsWithIncompleteRequests(t *testing.T) {
	h := newHarness(t, answerWith("{}"), func(o *server.Options) { o.DrainTimeout = 50 })
	c, err := h.dial()
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 100\r\n\r\n{\"mod")
	require.NoError(t, err)
	require.Equal(t, 200, h.do(h.request("POST", "/v1/chat/completions", chatBody)).status)
	began := time.Now()
	require.NoError(t, h.server.Close())
	require.Less(t, time.Since(began), 15*time.Second)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.ReadAll(c)
	require.NoError(t, err, "the connection is closed, and does not remain open without data")
}

func TestPanicEndsOnlyItsOwnCall(t *testing.T) {
	h := newHarness(t, doerFunc(func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		if r.Model == "bad" {
			panic("fault")
		}
		return answerWith("{}")(ctx, r, s)
	}), func(o *server.Options) { o.DrainTimeout = 10000 })
	a := h.do(h.request("POST", "/v1/chat/completions", strings.Replace(chatBody, `"m"`, `"bad"`, 1)))
	require.Equal(t, "internal-error", a.code)
	require.Empty(t, a.header.Get("jackdawgate-not-run"))
	a = h.do(h.request("POST", "/v1/chat/completions", strings.Replace(streamBody, `"m"`, `"bad"`, 1)))
	require.Equal(t, "internal-error", a.code, "a stream's goroutine too")
	require.Equal(t, 200, h.do(h.request("POST", "/v1/chat/completions", chatBody)).status)
	began := time.Now()
	require.NoError(t, h.server.Close())
	require.Less(t, time.Since(began), 5*time.Second, "Close does not wait for the call that panicked")
}

// outcomeRecorder is a Recorder that keeps the names of the outcomes of calls.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes []string
}

func (r *outcomeRecorder) Record(_ context.Context, _ requester.Request, o requester.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, requester.OutcomeName(o))
}

// A call that is no stream left no usage record if its handler panicked, though a backend
// server may have run it.
func TestPanickedCallIsRecorded(t *testing.T) {
	recorder := &outcomeRecorder{}
	h := newHarness(t, doerFunc(func(context.Context, requester.Request, requester.Sink) requester.Outcome {
		panic("fault")
	}), func(o *server.Options) { o.Recorder = recorder })
	require.Equal(t, "internal-error", h.do(h.request("POST", "/v1/chat/completions", chatBody)).code)
	require.Equal(t, "internal-error", h.do(h.request("POST", "/v1/chat/completions", streamBody)).code)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	require.Equal(t, []string{"maybe-run", "maybe-run"}, recorder.outcomes)
}
