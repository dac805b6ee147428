package gatekeeper_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// relay is a Relay that records calls and returns outcome for each.
type relay struct {
	calls   []relayer.Call
	outcome relayer.Outcome
	// during is called while a call runs; it may be nil.
	during func(relayer.Call)
}

func (r *relay) Run(_ context.Context, c relayer.Call, s relayer.Sink) relayer.Outcome {
	r.calls = append(r.calls, c)
	if r.during != nil {
		r.during(c)
	}
	if d, ok := r.outcome.(relayer.Delivered); ok {
		_ = s.Head(d.Status, http.Header{}, 2)
		_ = s.Write([]byte("ok"))
	}
	return r.outcome
}

// jobs has the jobs that were submitted, all under one name.
type jobs struct{ submitted []gatekeeper.Submission }

func (j *jobs) Submit(_ context.Context, s gatekeeper.Submission) gatekeeper.JobAnswer {
	j.submitted = append(j.submitted, s)
	return gatekeeper.JobAnswer{Status: http.StatusAccepted}
}

func (j *jobs) Serve(_ context.Context, owner authorizer.Owner, _ namer.JobCall, _ string) gatekeeper.JobAnswer {
	if !slices.ContainsFunc(j.submitted, func(s gatekeeper.Submission) bool { return s.Owner == owner }) {
		return gatekeeper.JobAnswer{Status: http.StatusNotFound, NoSuchJob: true, Reason: "no such job"}
	}
	return gatekeeper.JobAnswer{Status: http.StatusOK, Body: []byte(owner.Workspace)}
}

type fixture struct {
	clock    *harness.Clock
	snapshot cataloger.Snapshot
	relay    *relay
	jobs     *jobs
	options  gatekeeper.Options
	gate     *gatekeeper.Gatekeeper
	rationer *rationer.Rationer
	memory   *holder.Holder
	// othersReady is set if another host admits requests.
	othersReady bool
}

// memoryForBodies is the memory of the fixture's host for bodies, in bytes.
const memoryForBodies = 1 << 20

func newFixture() *fixture { return newLoggedFixture(zap.NewNop()) }

func newLoggedFixture(l *zap.Logger) *fixture { return newFixtureWith(l, 0) }

// setRate replaces the gatekeeper by one with a minimum rate of bodies, in bytes per second.
func (f *fixture) setRate(rate int) {
	x := newFixtureWith(zap.NewNop(), rate)
	x.snapshot = f.snapshot.WithConfirmed(x.clock.Time)
	*f = *x
}

func newFixtureWith(l *zap.Logger, rate int) *fixture {
	f := &fixture{clock: &harness.Clock{Time: 100000}, relay: &relay{outcome: relayer.Delivered{Status: 200}}, jobs: &jobs{}, memory: holder.New(memoryForBodies)}
	r := rationer.New(f.clock)
	f.rationer = r
	f.clock.Time += 10 * timer.Second
	f.options = gatekeeper.Options{
		Names:    namer.Names{RequestID: "Id", Deadline: "Deadline", Key: "Key", Prompt: "Prompt", SharedParts: platform.Names().SharedParts, ParseJobCall: jobCall},
		Snapshot: func() cataloger.Snapshot { return f.snapshot }, Relay: f.relay, Rationer: r, Jobs: f.jobs, OthersReady: func() bool { return f.othersReady },
		Clock: f.clock, Logger: l, MaxConfigAge: 3600, Memory: f.memory, BodyRate: rate,
	}
	f.gate = gatekeeper.New(f.options)
	return f
}

// setRelay replaces what calls are relayed by.
func (f *fixture) setRelay(r gatekeeper.Relay) {
	f.options.Relay = r
	f.gate = gatekeeper.New(f.options)
}

func jobCall(_, path, _ string) (namer.JobCall, bool) {
	if id, ok := strings.CutPrefix(path, "/jobs/"); ok {
		return namer.ReadResults{Job: id}, true
	}
	return nil, false
}

// configure sets a configuration that is confirmed now.
func (f *fixture) configure() {
	f.snapshot = f.snapshot.WithConfig(configuration(1, map[string]string{"k": "w"})).WithConfirmed(f.clock.Time)
}

func configuration(version int64, keys map[string]string) *cataloger.Config {
	shares := []cataloger.Share{{Service: "s", Weight: 1}}
	return cataloger.NewConfig(cataloger.ConfigParts{
		Version: version,
		Routes: []cataloger.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: cataloger.Stream, Timeout: 5000, Shares: shares, MaxAttempts: 1},
			{Name: "deep", Host: "h", Prefix: "/chat/deep/", Kind: cataloger.Stream, Timeout: 900, Shares: shares, MaxAttempts: 1},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: cataloger.Idempotent, Public: true, Shares: shares, MaxAttempts: 1},
			{Name: "batch", Host: "h", Prefix: "/batch/", Kind: cataloger.Batch, Shares: shares, MaxAttempts: 3},
		},
		Workspaces: []cataloger.Workspace{{Name: "w", Rate: 1, Burst: 2}},
		Keys:       keys,
	})
}

// limit replaces the configuration's limits.
func (f *fixture) limit(l cataloger.Limits) {
	c := *f.snapshot.Config
	c.Version, c.Limits = c.Version+1, l
	f.snapshot = f.snapshot.WithConfig(&c)
}

func (f *fixture) call(path, key string) *httptest.ResponseRecorder {
	return f.send(path, key, strings.NewReader("body"))
}

// send makes a call with a body.
func (f *fixture) send(path, key string, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, body)
	r.Header.Set("Key", key)
	r.Header.Set("Deadline", "4000")
	r.Header.Set("Prompt", "a:1,b:2,own:3")
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	return w
}

func TestNoConfigurationIsNotReportedAsUnknown(t *testing.T) {
	f := newFixture()
	w := f.call("/chat/1", "k")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.False(t, f.gate.Permitted())
}

// Guards against callers without a workspace who are not counted for the shares of servers, or
// whose refused calls are.
func TestCallsWithoutAWorkspaceAreCountedAsThoseOfOne(t *testing.T) {
	f := newFixture()
	f.configure()
	require.Equal(t, http.StatusOK, f.call("/open/1", "").Code)
	require.Equal(t, http.StatusOK, f.call("/open/2", "").Code)
	f.relay.outcome = relayer.NotRun{Reason: "full", RetryAfter: 100}
	require.Equal(t, http.StatusServiceUnavailable, f.call("/open/3", "").Code)
	require.Equal(t, map[string]uint64{"": 2}, f.rationer.Spent())
}

// Guards against a call that runs on after its caller has given up.
func TestDeadlineOfACallerThatWaitsLessThanTheRouteHolds(t *testing.T) {
	f := newFixture()
	f.configure()
	q := httptest.NewRequest(http.MethodPost, "http://h/chat/1", strings.NewReader("{}"))
	q.Header.Set("Key", "k")
	q.Header.Set("Deadline", "300")
	f.gate.ServeHTTP(httptest.NewRecorder(), q)
	require.Equal(t, f.clock.Time+300, f.relay.calls[0].Deadline)
}

// Guards against one workspace's calls that are refused for the crashes of another's.
func TestEqualCallsOfTwoWorkspacesAreNotTakenForOne(t *testing.T) {
	f := newFixture()
	f.snapshot = f.snapshot.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{
		Version:    1,
		Routes:     []cataloger.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: cataloger.Stream, Timeout: 5000, Shares: []cataloger.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
		Workspaces: []cataloger.Workspace{{Name: "w", Rate: 10, Burst: 10}, {Name: "x", Rate: 10, Burst: 10}},
		Keys:       map[string]string{"k": "w", "l": "x"},
	})).WithConfirmed(f.clock.Time)
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code)
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code)
	require.Equal(t, http.StatusOK, f.call("/chat/1", "l").Code)
	prints := make([]uint64, 0, 3)
	for _, c := range f.relay.calls {
		prints = append(prints, c.Suspect.Fingerprint)
	}
	require.Equal(t, prints[0], prints[1])
	require.NotEqual(t, prints[0], prints[2])
}

// The route of an accepted job was removed, and it was the last one of its host. All calls about
// the job were answered as if there was no such job. They need its owner's key and nothing else.
func TestJobIsKnownToItsOwnerAfterItsRouteWasRemoved(t *testing.T) {
	f := newFixture()
	f.configure()
	require.Equal(t, http.StatusAccepted, f.call("/batch/1", "k").Code)
	without := cataloger.NewConfig(cataloger.ConfigParts{
		Version: 2, Workspaces: []cataloger.Workspace{{Name: "w"}}, Keys: map[string]string{"k": "w"},
		Routes: []cataloger.Route{{Name: "chat", Host: "h2", Prefix: "/chat/", Kind: cataloger.Stream, Shares: []cataloger.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
	})
	for _, c := range []*cataloger.Config{f.snapshot.Config, without} {
		f.snapshot = f.snapshot.WithConfig(c)
		for _, host := range []string{"h", "h:80", "h2", "other"} {
			for key, status := range map[string]int{"k": http.StatusOK, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized} {
				q := httptest.NewRequest(http.MethodGet, "http://"+host+"/jobs/1", http.NoBody)
				q.Header.Set("Key", key)
				w := httptest.NewRecorder()
				f.gate.ServeHTTP(w, q)
				require.Equal(t, status, w.Code, "version %d, host %q, key %q", c.Version, host, key)
			}
		}
	}
}

func TestRequestIsRelayedForItsWorkspaceWithoutItsKey(t *testing.T) {
	f := newFixture()
	f.configure()
	require.Equal(t, http.StatusOK, f.call("/chat/deep/1", "k").Code)
	c := f.relay.calls[0]
	require.Equal(t, "deep", c.Route.Name, "the longest prefix")
	require.Equal(t, "w", c.Workspace)
	require.Empty(t, c.Header.Get("Key"))
	require.Equal(t, "a,b", c.Prompt)
	require.Equal(t, suspector.Parts([]string{"a", "b"}), c.Suspect.Parts)
	require.Equal(t, f.clock.Time+900, c.Deadline, "the route's timeout is shorter than the caller's")
}

// A caller may name the host in the request's first line. Servers were sent the line as it
// came.
func TestPathIsRelayedWithoutSchemeAndHost(t *testing.T) {
	f := newFixture()
	f.configure()
	require.Equal(t, http.StatusOK, f.call("/chat/a%20b?q=1", "k").Code)
	require.Equal(t, "/chat/a%20b?q=1", f.relay.calls[0].Target)
}

func TestUnknownRoutesAndKeysAreReportedOnlyWithFreshConfiguration(t *testing.T) {
	f := newFixture()
	f.configure()
	require.Equal(t, http.StatusNotFound, f.call("/other/", "k").Code)
	require.Equal(t, http.StatusUnauthorized, f.call("/chat/1", "wrong").Code)
	f.clock.Time += 2 * timer.Second
	require.Equal(t, http.StatusServiceUnavailable, f.call("/other/", "k").Code)
	require.Equal(t, http.StatusServiceUnavailable, f.call("/chat/1", "wrong").Code)
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code, "known routes and keys are still admitted")
}

func TestUnconfirmedHostRefusesKeysAfterTheWithdrawnKeyBound(t *testing.T) {
	f := newFixture()
	f.configure()
	f.clock.Time += 3600
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code)
	f.clock.Time++
	require.Equal(t, http.StatusServiceUnavailable, f.call("/chat/1", "k").Code)
	require.False(t, f.gate.Permitted())
	require.Equal(t, http.StatusOK, f.call("/open/1", "").Code, "public routes need no key")
	f.configure()
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code, "admitted again at once")
}

// While the store was away, callers were told to come again after 150 ms, and were refused
// for good then; on a host that alone was cut off from it, they waited for nothing.
func TestCallersOfAnUnconfirmedHostComeWhenTheyHaveTheBestChance(t *testing.T) {
	f := newFixture()
	f.configure()
	f.clock.Time += 10 * timer.Second
	require.Equal(t, "1.333", f.call("/chat/1", "k").Header().Get("Retry-After"), "a third of 4 s")
	require.Equal(t, "1.333", f.call("/jobs/1", "k").Header().Get("Retry-After"))
	f.othersReady = true
	require.Equal(t, "0.010", f.call("/chat/1", "k").Header().Get("Retry-After"))
}

func TestQuotaRefusalHasRetryAfterAndNotRunIsRefunded(t *testing.T) {
	f := newFixture()
	f.configure()
	f.relay.outcome = relayer.NotRun{Reason: "no server", RetryAfter: 300}
	for range 5 {
		w := f.call("/chat/1", "k")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "0.300", w.Header().Get("Retry-After"))
	}
	f.relay.outcome = relayer.Delivered{Status: 200}
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code)
	require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code)
	w := f.call("/chat/1", "k")
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, "1.000", w.Header().Get("Retry-After"))
}

func TestCallThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	f := newFixture()
	f.configure()
	f.relay.outcome = relayer.Unknown{Reason: "broken off"}
	require.Equal(t, http.StatusBadGateway, f.call("/chat/1", "k").Code)
	f.relay.outcome = relayer.Unknown{Reason: "late", Late: true}
	require.Equal(t, http.StatusGatewayTimeout, f.call("/chat/1", "k").Code)
}

func TestInterruptedAnswerAbortsItsConnection(t *testing.T) {
	f := newFixture()
	f.configure()
	f.relay.outcome = relayer.Interrupted{Reason: "server crashed"}
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { f.call("/chat/1", "k") })
}

func TestBatchCallsAreHandledAsJobs(t *testing.T) {
	f := newFixture()
	f.configure()
	require.Equal(t, http.StatusAccepted, f.call("/batch/1", "k").Code)
	require.Equal(t, "w", f.jobs.submitted[0].Owner.Workspace)
	require.Equal(t, "w", f.call("/jobs/1", "k").Body.String())
	require.Equal(t, http.StatusUnauthorized, f.call("/jobs/1", "wrong").Code)
	require.Empty(t, f.relay.calls)
}

func TestDrainingHostClosesCallerConnections(t *testing.T) {
	f := newFixture()
	f.configure()
	f.gate.Drain()
	w := f.call("/chat/1", "k")
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "close", w.Header().Get("Connection"))
}

// All callers over a quota were told of the next token, came together, and all but one were
// refused for good. Two tokens were taken within 0.8 s, 2.5 a second: of 10 a second 7.5 are
// left for those who return. While others take all of them, one of twenty is.
func TestCallersOverTheQuotaAreToldOfTokensOneAfterTheOther(t *testing.T) {
	for name, c := range map[string]struct {
		burst float64
		want  []string
	}{
		"short":   {2, []string{"0.100", "0.233", "0.366"}},
		"lasting": {8, []string{"0.100", "2.100", "2.100"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.configure()
			f.snapshot = f.snapshot.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{
				Version: 2, Keys: map[string]string{"k": "w"},
				Routes:     []cataloger.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: cataloger.Stream, Shares: []cataloger.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
				Workspaces: []cataloger.Workspace{{Name: "w", Rate: 10, Burst: c.burst}},
			}))
			for range int(c.burst) {
				require.Equal(t, http.StatusOK, f.call("/chat/1", "k").Code)
			}
			for _, want := range c.want {
				w := f.call("/chat/1", "k")
				require.Equal(t, http.StatusTooManyRequests, w.Code)
				require.Equal(t, want, w.Header().Get("Retry-After"))
			}
		})
	}
}
