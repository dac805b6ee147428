package executor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/speller"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	lastEvent = 6
	patience  = 20 * time.Second
	often     = 5 * time.Millisecond
)

var names = speller.Names{
	RequestID: "Id", Deadline: "Deadline", Key: "Key", Workspace: "Workspace", ExpectServer: "Expect",
	Signature: "Signature", NotRun: "Not-Run", Leaving: "Leaving", ResumeAfter: "After",
}

// engine is a backend server that streams lastEvent events for each item.
type engine struct {
	// trickling is how many runs stall, noise what they send then.
	trickling int
	noise     string
	// leaves says that the server of the first run leaves.
	leaves bool
	mu     sync.Mutex
	// breaks are after which event the next runs break off; statuses are what
	// the next runs answer; hold stops runs after their second event.
	breaks   []int
	statuses []int
	hold     chan struct{}
	runs     []string
	servers  map[string]bool
	// counts are the runs by server.
	counts map[string]int
}

func (e *engine) next(q *http.Request, at, body string) (status, breakAfter int, hold chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, fmt.Sprint(q.Header.Get("Id"), " after ", q.Header.Get("After"), " ", body))
	status, breakAfter = http.StatusOK, -1
	if e.servers == nil {
		e.servers = make(map[string]bool)
	}
	e.servers[at] = true
	if e.counts == nil {
		e.counts = make(map[string]int)
	}
	e.counts[at]++
	if len(e.statuses) > 0 {
		status, e.statuses = e.statuses[0], e.statuses[1:]
	}
	if len(e.breaks) > 0 {
		breakAfter, e.breaks = e.breaks[0], e.breaks[1:]
	}
	return status, breakAfter, e.hold
}

// where are the addresses of the servers that ran something.
func (e *engine) where() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.servers)
}

func (e *engine) answer(c net.Conn) {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(q.Body)
	status, breakAfter, hold := e.next(q, c.LocalAddr().String(), string(body))
	if status != http.StatusOK {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", status)
		return
	}
	word := ""
	if e.leaves && len(e.seen()) == 1 {
		word = "Leaving: 1\r\n"
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+word+"Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	first, _ := strconv.Atoi(q.Header.Get("After"))
	for i := first + 1; i <= lastEvent; i++ {
		if i == breakAfter {
			return
		}
		if i == 3 && hold != nil {
			<-hold
		}
		if i == 3 && e.trickles() {
			trickle(c, e.noise)
			return
		}
		ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// trickles says whether this run sends bytes without ever ending its event.
func (e *engine) trickles() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trickling--
	return e.trickling >= 0
}

// trickle sends a chunk now and then until the connection ends.
func trickle(c net.Conn, noise string) {
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(noise), noise); err != nil {
			return
		}
		time.Sleep(often)
	}
}

func (e *engine) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.runs...)
}

type fixture struct {
	t        *testing.T
	engine   *engine
	queue    *queuer.Queue
	executor *executor.Executor
	options  executor.Options

	mu     sync.Mutex
	online int
}

func start(t *testing.T, e *engine) *fixture { return startWith(t, e, 1) }

// startWith runs items at several servers that are one engine.
func startWith(t *testing.T, e *engine, servers int) *fixture {
	return startKeeping(t, e, servers, filler.Policy{})
}

// startKeeping keeps slots free by a policy.
func startKeeping(t *testing.T, e *engine, servers int, policy filler.Policy) *fixture {
	f := &fixture{t: t, engine: e}
	route := cataloger.Route{Name: "r", Host: "h", Prefix: "/b/", Kind: cataloger.Batch, Shares: []cataloger.Share{{Service: "svc", Weight: 1}}}
	s := cataloger.Snapshot{}.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{Version: 1, Routes: []cataloger.Route{route}}))
	for i := range servers {
		s = s.WithServer(cataloger.Server{ID: fmt.Sprint("s", i), Service: "svc", Address: harness.Serve(t, e.answer), Slots: 4})
	}
	clock := timer.System()
	ej := ejector.New(clock, zap.NewNop())
	d := departer.New(clock, zap.NewNop())
	touch := func() {}
	f.queue = queuer.New(zap.NewNop(), func() { touch() })
	p := picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return s }, Ejector: ej, Departs: d.Departs, Changed: func() {}, Slowness: func(string) float64 { return 1 },
		Others: func(string) gossiper.Load { return gossiper.Load{Online: f.onlineNow()} },
	})
	c := conveyor.New(conveyor.Options{IDHeader: names.RequestID, Clock: clock})
	t.Cleanup(c.Close)
	f.options = executor.Options{
		Host: "self", Names: names, Snapshot: func() cataloger.Snapshot { return s }, Digests: func() []gossiper.Digest { return nil }, Hosts: func() int { return 0 },
		Picker: p, Conveyor: c, Ejector: ej, Departer: d, Clock: clock, Logger: zap.NewNop(), Policy: policy,
		Stall: 300,
		Groups: []executor.Group{{Queue: f.queue, Propose: func(_ context.Context, data []byte) error {
			f.queue.Apply(data)
			return nil
		}}},
	}
	f.queue.Opened()
	f.startAnew()
	return f
}

// startAnew makes another host run the items.
func (f *fixture) startAnew() {
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
	f.executor.Touch()
}

func (f *fixture) submit(items int) { f.submitAs("j", items) }

func (f *fixture) submitAs(job string, items int) {
	j := queuer.Job{ID: job, Host: "h", Submitted: time.Now().UnixMilli(), RunObjective: 18000, Retention: 60000, MaxAttempts: 3}
	for i := range items {
		j.Items = append(j.Items, queuer.Item{ID: "i" + strconv.Itoa(i), Path: "/b/x", Body: []byte("body" + strconv.Itoa(i))})
	}
	data, err := queuer.Encode(queuer.Accepted{Job: j})
	require.NoError(f.t, err)
	f.queue.Apply(data)
}

func (f *fixture) results(n int) []queuer.Result {
	f.t.Helper()
	return f.resultsWithin(n, patience)
}

func (f *fixture) resultsWithin(n int, patience time.Duration) []queuer.Result {
	f.t.Helper()
	var r queuer.Results
	require.Eventually(f.t, func() bool {
		r, _, _ = f.queue.Results("j", 0, 1<<20)
		return len(r.Results) >= n
	}, patience, often)
	return r.Results
}

func whole() string {
	var parts []string
	for i := 1; i <= lastEvent; i++ {
		parts = append(parts, "e"+strconv.Itoa(i))
	}
	return strings.Join(parts, "\n")
}

func TestItemsRunOnceAndAreListedWhole(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	f.submit(6)
	for _, r := range f.results(6) {
		require.Equal(t, whole(), string(r.Output))
		require.False(t, r.Dead)
	}
	require.Len(t, e.seen(), 6)
	require.Contains(t, e.seen(), "i3 after  body3")
}

func TestBrokenItemGoesOnAfterItsLastEvent(t *testing.T) {
	e := &engine{breaks: []int{4, 6, 1}}
	f := start(t, e)
	f.submit(1)
	require.Equal(t, whole(), string(f.results(1)[0].Output))
	require.Equal(t, []string{"i0 after  body0", "i0 after 3 body0", "i0 after 5 body0", "i0 after 5 body0"}[:len(e.seen())], e.seen())
}

func TestItemThatFailsTooOftenIsGivenUp(t *testing.T) {
	e := &engine{statuses: []int{500, 500, 500}}
	f := start(t, e)
	f.submit(1)
	require.True(t, f.results(1)[0].Dead)
	require.Len(t, e.seen(), 3)
}

// BUDGET: an item that fails at each run was counted in its owner's memory only, so
// each host that took its group over tried it as often again.
func TestFailuresOfAnItemCountAtItsNextOwner(t *testing.T) {
	held := make(chan struct{})
	e := &engine{statuses: []int{500, 500}, hold: held}
	f := start(t, e)
	f.submit(1)
	require.Eventually(t, func() bool {
		list := f.queue.Pending()
		return len(list) == 1 && list[0].Saved.Failures == 2 && len(e.seen()) == 3
	}, patience, often)
	f.executor.Close()
	close(held)
	e.mu.Lock()
	e.statuses, e.hold = []int{500}, nil
	e.mu.Unlock()
	f.startAnew()
	require.True(t, f.results(1)[0].Dead)
	require.Len(t, e.seen(), 4)
}

// Pattern: a stalled stream that still sends a byte now and then, or events without
// data and without end. Its item goes on elsewhere after its last whole event.
func TestItemWhoseStreamStallsGoesOn(t *testing.T) {
	for _, noise := range []string{":", ":\n\n"} {
		e := &engine{trickling: 1, noise: noise}
		f := start(t, e)
		f.submit(1)
		require.Equal(t, whole(), string(f.results(1)[0].Output))
		require.Equal(t, []string{"i0 after  body0", "i0 after 2 body0"}, e.seen())
	}
}

// Pattern: servers crash in a burst, several of them under the same sound item. It
// is still owed once all is calm.
func TestItemUnderWhichServersCrashedIsPlacedAgain(t *testing.T) {
	e := &engine{breaks: []int{1, 1, 1, 1, 1}}
	f := startWith(t, e, 6)
	f.submit(1)
	r := f.resultsWithin(1, 10*time.Second)
	require.Len(t, r, 1)
	require.Equal(t, whole(), string(r[0].Output))
	require.Len(t, e.where(), 6, "each time at another server")
}

// Pattern: one server fails a part of its requests while others are well. An item
// that fails too often is given up, so it must not go there again and again.
func TestItemThatFailedGoesToAnotherServer(t *testing.T) {
	e := &engine{statuses: []int{500, 500}}
	f := startWith(t, e, 3)
	f.submit(1)
	require.Equal(t, whole(), string(f.results(1)[0].Output))
	require.Len(t, e.where(), 3, "%v", e.seen())
}

func TestItemThatFailedGoesBackToTheOnlyServer(t *testing.T) {
	e := &engine{statuses: []int{500, 500}}
	f := start(t, e)
	f.submit(1)
	require.Equal(t, whole(), string(f.results(1)[0].Output))
}

// DRAIN: a server says in the answer to an item that it leaves.
func TestItemsGoToNoServerThatSaysThatItLeaves(t *testing.T) {
	e := &engine{leaves: true}
	f := startWith(t, e, 2)
	f.submit(1)
	require.Len(t, f.results(1), 1)
	first := e.where()
	for i := range 6 {
		f.submitAs(fmt.Sprint("k", i), 1)
		require.Eventually(t, func() bool { r, _, _ := f.queue.Results(fmt.Sprint("k", i), 0, 1<<20); return len(r.Results) == 1 }, patience, often)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Len(t, e.servers, 2)
	for at, n := range e.counts {
		if first[at] {
			require.Equal(t, 1, n)
		}
	}
}

func TestItemThatCanNeverBeDoneIsGivenUpAtOnce(t *testing.T) {
	e := &engine{statuses: []int{422}}
	f := start(t, e)
	f.submit(1)
	require.True(t, f.results(1)[0].Dead)
	require.Len(t, e.seen(), 1)
}

// Pattern: no online call ran for long. Items get all slots; as soon as one runs, a
// slot stays free for the next.
func TestItemsGetAllSlotsWhereNoOnlineCallRanLately(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := startKeeping(t, e, 1, filler.Policy{FillFree: 2})
	f.submit(8)
	require.Eventually(t, func() bool { return len(e.seen()) == 4 }, patience, often)
	close(e.hold)
	f.results(8)

	e = &engine{hold: make(chan struct{})}
	f = startKeeping(t, e, 1, filler.Policy{FillFree: 2})
	f.setOnline(1)
	f.submit(8)
	require.Eventually(t, func() bool { return len(e.seen()) == 2 }, patience, often)
	f.setOnline(0)
	require.Eventually(t, func() bool { return len(e.seen()) == 3 }, patience, often)
	close(e.hold)
	f.results(8)
}

// Pattern: online calls fill the server while items run there.
func TestItemsGiveWayToOnlineCallsAndGoOnLater(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := start(t, e)
	f.submit(2)
	require.Eventually(t, func() bool { return len(e.seen()) == 2 && f.executor.Backlog() == 0 }, patience, often)
	f.setOnline(4)
	require.Eventually(t, func() bool { return f.executor.Backlog() == 2 }, patience, often)
	e.mu.Lock()
	close(e.hold)
	e.hold = nil
	e.mu.Unlock()
	f.setOnline(0)
	for _, r := range f.results(2) {
		require.Equal(t, whole(), string(r.Output))
	}
	require.Len(t, e.seen(), 4)
}

func TestEndedJobIsStopped(t *testing.T) {
	e := &engine{hold: make(chan struct{})}
	f := start(t, e)
	f.submit(1)
	require.Eventually(t, func() bool { return len(e.seen()) == 1 }, patience, often)
	data, err := queuer.Encode(queuer.Ended{Job: "j"})
	require.NoError(t, err)
	f.queue.Apply(data)
	f.executor.Touch()
	close(e.hold)
	f.executor.Close()
	r, _, _ := f.queue.Results("j", 0, 1<<20)
	require.Empty(t, r.Results)
}
