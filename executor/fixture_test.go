package executor_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/jackdawgate/jackdawgate/warmer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	lastEvent    = 6
	waitTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
	// warmupRate is what a cold server takes, in requests a second.
	warmupRate = 2
)

var names = namer.Names{
	RequestID: "Id", Deadline: "Deadline", Key: "Key", Workspace: "Workspace", ExpectServer: "Expect",
	Signature: "Signature", NotRun: "Not-Run", Leaving: "Leaving", Limit: "Limit", ResumeAfter: "After",
	Prompt: "Prompt", SharedParts: sharedParts, Server: "Server-Id", Expectations: []string{"Expect-Version"},
}

// sharedParts returns all parts of a comma-separated list but the last.
func sharedParts(value string) []string {
	parts := strings.Split(value, ",")
	return parts[:len(parts)-1]
}

// engine is a backend server that streams lastEvent events for each item.
type engine struct {
	// stallTimeout is how long a run may go without an event; 300 ms if zero.
	stallTimeout timer.Millis
	// stalls is how many of the next runs stall; a stalled run sends stallBytes
	// again and again instead of its third event.
	stalls     int
	stallBytes string
	// announcesLeave makes the server of the first run announce that it is leaving.
	announcesLeave bool
	// limit is the limit that all responses name; empty for none.
	limit string
	// crashingPart is the part of a prompt whose items break off before their first
	// event; empty for none. crashes are the times at which they did.
	crashingPart string
	crashes      []time.Time
	// onCrash is called with the address of a server that crashes.
	onCrash func(address string)
	mu      sync.Mutex
	// breakAt lists, for each of the next runs, the event in place of which the
	// connection closes. statuses lists the statuses of the next responses. hold
	// blocks runs after their second event until it is closed.
	breakAt  []int
	statuses []int
	hold     chan struct{}
	runs     []string
	head     http.Header
	// answers are the whole responses of the next runs, from their status lines on.
	answers []string
	// ranAt holds the addresses of the servers that ran something.
	ranAt map[string]bool
	// counts are the runs by server.
	counts map[string]int
}

func (e *engine) next(q *http.Request, at, body string) (status, breakAt int, hold chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, fmt.Sprint(q.Header.Get("Id"), " after ", q.Header.Get("After"), " ", body))
	e.head = q.Header
	status, breakAt = http.StatusOK, -1
	if e.ranAt == nil {
		e.ranAt = make(map[string]bool)
	}
	e.ranAt[at] = true
	if e.counts == nil {
		e.counts = make(map[string]int)
	}
	e.counts[at]++
	if len(e.statuses) > 0 {
		status, e.statuses = e.statuses[0], e.statuses[1:]
	}
	if len(e.breakAt) > 0 {
		breakAt, e.breakAt = e.breakAt[0], e.breakAt[1:]
	}
	return status, breakAt, e.hold
}

// addresses returns the addresses of the servers that ran something.
func (e *engine) addresses() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.ranAt)
}

func (e *engine) answer(c net.Conn) {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(q.Body)
	if e.crashingPart != "" && slices.Contains(sharedParts(q.Header.Get("Prompt")), e.crashingPart) {
		e.mu.Lock()
		e.crashes = append(e.crashes, time.Now())
		e.mu.Unlock()
		e.onCrash(c.LocalAddr().String())
		return
	}
	if a := e.nextAnswer(); a != "" {
		_, _ = io.WriteString(c, a)
		return
	}
	status, breakAt, hold := e.next(q, c.LocalAddr().String(), string(body))
	if status != http.StatusOK {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", status)
		return
	}
	header := ""
	if e.announcesLeave && len(e.received()) == 1 {
		header = "Leaving: 1\r\n"
	}
	if e.limit != "" {
		header += "Limit: " + e.limit + "\r\n"
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	first, _ := strconv.Atoi(q.Header.Get("After"))
	for i := first + 1; i <= lastEvent; i++ {
		if i == breakAt {
			return
		}
		if i == 3 && hold != nil {
			<-hold
		}
		if i == 3 && e.takeStall() {
			trickle(c, e.stallBytes)
			return
		}
		ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// answersLeft returns the number of answers that no run has taken.
func (e *engine) answersLeft() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.answers)
}

// nextAnswer returns the whole response of this run if it is given, unless the next run is
// to break off.
func (e *engine) nextAnswer() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.answers) == 0 || len(e.breakAt) > 0 {
		return ""
	}
	a := e.answers[0]
	e.answers = e.answers[1:]
	return a
}

// takeStall reports whether this run must stall, and counts it.
func (e *engine) takeStall() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalls--
	return e.stalls >= 0
}

// trickle sends noise every pollInterval until the connection ends.
func trickle(c net.Conn, noise string) {
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(noise), noise); err != nil {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (e *engine) received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.runs...)
}

// lastHead returns the headers of the last run.
func (e *engine) lastHead() http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head
}

type fixture struct {
	t        *testing.T
	engine   *engine
	clock    timer.Clock
	queue    *queuer.Queue
	executor *executor.Executor
	options  executor.Options
	digests  func() []gossiper.Digest

	mu       sync.Mutex
	online   int
	snapshot cataloger.Snapshot
	// records are the records that were proposed.
	records []queuer.Record
}

// current returns the snapshot that the executor uses.
func (f *fixture) current() cataloger.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// update replaces the snapshot that the executor uses.
func (f *fixture) update(change func(s cataloger.Snapshot) cataloger.Snapshot) {
	f.mu.Lock()
	f.snapshot = change(f.snapshot)
	f.mu.Unlock()
	f.executor.Wake()
}

// restart replaces the server at an address by its next incarnation.
func (f *fixture) restart(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.snapshot.Servers {
		if v.Address == address {
			v.StartedAt++
			f.snapshot = f.snapshot.WithServer(v)
			return
		}
	}
}

func start(t *testing.T, e *engine) *fixture { return startWithServers(t, e, 1) }

// startWithServers runs items on several servers that share one engine.
func startWithServers(t *testing.T, e *engine, servers int) *fixture {
	return startWithPolicy(t, e, servers, filler.Policy{})
}

// startWithPolicy is startWithServers with a policy for the slots to keep free.
func startWithPolicy(t *testing.T, e *engine, servers int, policy filler.Policy) *fixture {
	f := &fixture{t: t, engine: e}
	route := cataloger.Route{Name: "r", Host: "h", Prefix: "/b/", Kind: cataloger.Batch, Shares: []cataloger.Share{{Service: "svc", Weight: 1}}}
	s := cataloger.Snapshot{}.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{
		Version: 1, Routes: []cataloger.Route{route}, Services: []cataloger.Service{{Name: "svc", WarmupRate: warmupRate}},
	})).WithMember(cataloger.Member{Name: "self"})
	for i := range servers {
		s = s.WithServer(cataloger.Server{ID: fmt.Sprint("s", i), Service: "svc", Address: harness.Serve(t, e.answer), Slots: 4})
	}
	f.snapshot, e.onCrash = s, f.restart
	clock := timer.System()
	f.clock = clock
	ej := ejector.New(clock, zap.NewNop())
	d := departer.New(clock, zap.NewNop())
	touch := func() {}
	f.queue = queuer.New(zap.NewNop(), func() { touch() })
	w := warmer.New("self", clock, zap.NewNop())
	w.ApplySnapshot(s)
	p := picker.New(picker.Options{
		Warmer:   w,
		Snapshot: f.current, Ejector: ej, Leaving: d.IsLeaving, Throttler: throttler.New(clock, zap.NewNop()), OnChange: func() {}, Slowdown: func(string) float64 { return 1 },
		RemoteLoad: func(string) gossiper.Load { return gossiper.Load{Online: f.onlineNow()} },
	})
	f.digests = func() []gossiper.Digest { return nil }
	c := transporter.New(transporter.Options{IDHeader: names.RequestID, Clock: clock})
	t.Cleanup(c.Close)
	f.options = executor.Options{
		Host: "self", Names: names, Snapshot: f.current, Digests: func() []gossiper.Digest { return f.digests() }, Hosts: func() int { return 0 },
		Picker: p, Transporter: c, Ejector: ej, Departer: d, Tracker: suspector.NewTracker(clock, zap.NewNop(), nil), Clock: clock, Logger: zap.NewNop(), Policy: policy,
		Stall: cmp.Or(e.stallTimeout, 300), Zones: localizer.Zones{"z-eu": "eu", "z-us": "us"},
		Groups: []executor.Group{{Queue: f.queue, Propose: func(_ context.Context, entries ...[]byte) error {
			f.record(entries)
			return nil
		}}},
	}
	f.queue.StartServing()
	f.startExecutor()
	return f
}

// record applies the entries of a record that was proposed.
func (f *fixture) record(entries [][]byte) {
	for _, data := range entries {
		f.queue.Apply(data)
	}
	if r, err := queuer.Decode(entries[0]); err == nil {
		f.mu.Lock()
		f.records = append(f.records, r)
		f.mu.Unlock()
	}
}

// startExecutor starts an Executor on the fixture's queue, as a host that takes over
// the group does.
func (f *fixture) startExecutor() {
	f.executor = executor.New(f.options)
	f.t.Cleanup(f.executor.Close)
}

func (f *fixture) onlineNow() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.online
}

func (f *fixture) setOnline(n int) {
	f.mu.Lock()
	f.online = n
	f.mu.Unlock()
	f.executor.Wake()
}

func (f *fixture) submit(items int) { f.submitAs("j", items) }

func (f *fixture) submitAs(job string, items int) {
	var list []queuer.Item
	for i := range items {
		list = append(list, queuer.Item{ID: "i" + strconv.Itoa(i), Path: "/b/x", Body: []byte("body" + strconv.Itoa(i))})
	}
	f.submitItems(job, list)
}

func (f *fixture) submitItem(i queuer.Item) { f.submitItems("j", []queuer.Item{i}) }

func (f *fixture) submitItems(job string, list []queuer.Item) {
	j := queuer.Job{ID: job, Host: "h", Submitted: time.Now().UnixMilli(), RunObjective: 18000, Retention: 60000, MaxAttempts: 3, Items: list}
	entries, err := queuer.Encode(queuer.Accepted{Job: j})
	require.NoError(f.t, err)
	f.queue.Apply(entries[0])
}

func (f *fixture) results(n int) []queuer.Result {
	f.t.Helper()
	return f.resultsWithin(n, waitTimeout)
}

func (f *fixture) resultsWithin(n int, timeout time.Duration) []queuer.Result {
	f.t.Helper()
	var r queuer.Results
	require.Eventually(f.t, func() bool {
		r, _, _ = f.queue.Results("j", 0, 1<<20)
		return len(r.Results) >= n
	}, timeout, pollInterval)
	return r.Results
}

func wholeOutput() string {
	var parts []string
	for i := 1; i <= lastEvent; i++ {
		parts = append(parts, "e"+strconv.Itoa(i))
	}
	return strings.Join(parts, "\n")
}
