package mirrorer_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/retirer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const manifestKey = "groups/0"

// fakeMachine is a Machine that records the applied entries.
type fakeMachine struct {
	mu sync.Mutex
	applied
	opened bool
}

func (r *fakeMachine) Reset()        { r.set(func() { r.applied, r.opened = applied{}, false }) }
func (r *fakeMachine) StartServing() { r.set(func() { r.opened = true }) }
func (r *fakeMachine) StopServing()  { r.set(func() { r.opened = false }) }

// checkpointEntries is the number of entries of a checkpoint.
const checkpointEntries = 3

// applied holds the applied texts and a partially applied checkpoint, of which
// remaining entries are missing.
type applied struct {
	texts, part []string
	remaining   int
}

// with returns the state after one more entry.
func (a applied) with(text string) applied {
	if !strings.HasPrefix(text, "=") {
		return applied{texts: append(a.texts, text)}
	}
	head, list, _ := strings.Cut(text[1:], ":#")
	var left int
	var first bool
	_, _ = fmt.Sscanf(head, "%d:%t", &left, &first)
	switch {
	case first:
		a.part = []string{}
	case a.part == nil || left != a.remaining-1:
		a.part = nil
		return a
	}
	a.part, a.remaining = append(slices.Clone(a.part), strings.Fields(list)...), left
	if left == 0 {
		return applied{texts: a.part}
	}
	return a
}

func (r *fakeMachine) Apply(data []byte) {
	r.set(func() { r.applied = r.applied.with(string(data)) })
}

func (r *fakeMachine) Checkpoint() [][]byte {
	list := r.list()
	var out [][]byte
	for i := range checkpointEntries {
		part := list[len(list)*i/checkpointEntries : len(list)*(i+1)/checkpointEntries]
		out = append(out, fmt.Appendf(nil, "=%d:%t:#%s", checkpointEntries-1-i, i == 0, strings.Join(part, " ")))
	}
	return out
}

// compactAfter and maxAppend are the Options with which replicas are started.
var compactAfter, maxAppend int64

func (r *fakeMachine) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *fakeMachine) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.texts)
}

// host is a host of a fleet that serves a single group.
type host struct {
	name, disk, path string
	starts           int
	running          bool
	replica          *mirrorer.Replica
	machine          *fakeMachine
	cancel           context.CancelFunc
	polled           chan struct{}
	// cutFromStore reports whether the host cannot reach the store.
	cutFromStore bool
	leaving      bool
	// retiring is set while the host is to be removed, removed once it was.
	retiring, removed bool
	cut               map[string]bool
}

// fleet is a set of hosts with disks that run in virtual time.
type fleet struct {
	t      *testing.T
	net    *messenger.Memory
	ledger *storer.MemoryLedger
	clock  timer.Clock

	mu    sync.Mutex
	hosts []*host
	// changed is when a host last started or stopped.
	changed timer.Millis
	// barred are the disks that must not receive the log.
	barred map[string]bool
	// commits counts the transactions that hosts tried to commit.
	commits int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, net: messenger.NewMemory(), clock: timer.System()}
	f.ledger = storer.NewMemoryLedger(f.clock)
	for range n {
		f.addHost()
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			f.kill(h)
		}
	})
	return f
}

// addHost starts a host with an empty disk.
func (f *fleet) addHost() {
	h := &host{name: fmt.Sprintf("h%d", len(f.hosts)), cut: make(map[string]bool)}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.wipe(h)
	f.start(h)
}

// wipe replaces a host's disk by an empty one.
func (f *fleet) wipe(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.disk = fmt.Sprintf("%s-disk-%d", h.name, h.starts)
	h.path = filepath.Join(f.t.TempDir(), "log")
}

func (f *fleet) start(h *host) {
	log, err := mirrorer.OpenLog(h.path, "group-0")
	require.NoError(f.t, err)
	f.mu.Lock()
	h.starts++
	incarnation := fmt.Sprintf("%s-%d", h.name, h.starts)
	h.machine, h.running = &fakeMachine{}, true
	f.changed = f.clock.Now()
	f.mu.Unlock()
	end := f.net.Host(h.name, messenger.Peer{Name: h.name, Incarnation: incarnation})
	started := f.clock.Now()
	h.replica = mirrorer.New(mirrorer.Options{
		Group: 0, Disk: h.disk, Incarnation: incarnation, Log: log, Machine: h.machine, Ledger: &hostLedger{f, h}, Key: manifestKey,
		Caller: slowCaller{end}, Clock: f.clock, Logger: zap.NewNop(), CompactAfter: compactAfter, MaxAppend: maxAppend,
		View:    func(g cataloger.Group) mirrorer.View { return f.view(h, g, started) },
		Address: f.address, HolderCondition: f.holderCondition,
	})
	replica := h.replica
	mirrorer.Serve(end, func(int) (*mirrorer.Replica, bool) { return replica, true })
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.polled = cancel, make(chan struct{})
	go f.poll(ctx, h, replica, h.polled)
}

// kill stops a host's process without touching its disk.
func (f *fleet) kill(h *host) {
	f.mu.Lock()
	was := h.running
	h.running = false
	f.changed = f.clock.Now()
	f.mu.Unlock()
	if was {
		f.stop(h)
	}
}

// restart kills a host's process and starts it again before others notice.
func (f *fleet) restart(h *host) {
	f.stop(h)
	f.start(h)
}

func (f *fleet) stop(h *host) {
	f.net.Remove(h.name)
	h.cancel()
	<-h.polled
	h.replica.Close()
}

// poll passes a replica the manifest from the store periodically, as a host does.
func (f *fleet) poll(ctx context.Context, h *host, r *mirrorer.Replica, done chan struct{}) {
	defer close(done)
	for timer.Sleep(ctx, 200) {
		if g, ok := f.manifest(&hostLedger{f, h}); ok {
			r.SetGroup(g)
		}
	}
}

func (f *fleet) manifest(l storer.Ledger) (cataloger.Group, bool) {
	items, _, err := l.Range(context.Background(), manifestKey)
	if err != nil || len(items) == 0 {
		return cataloger.Group{}, false
	}
	var g cataloger.Group
	require.NoError(f.t, cbor.Unmarshal(items[0].Value, &g))
	g.Revision = uint64(items[0].Revision)
	return g, true
}

func (f *fleet) address(disk string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.disk == disk && !h.removed {
			return h.name, true
		}
	}
	return "", false
}

func statusKey(name string) string { return "status/" + name }

// statusCondition returns the condition that a host's status is what it is now.
func (f *fleet) statusCondition(name string) storer.Condition {
	items, _, err := f.ledger.Range(context.Background(), statusKey(name))
	require.NoError(f.t, err)
	c := storer.Condition{Key: statusKey(name)}
	if len(items) > 0 {
		c.Revision = items[0].Revision
	}
	return c
}

func (f *fleet) holderCondition(disk string) (storer.Condition, bool) {
	name, ok := f.address(disk)
	if !ok {
		return storer.Condition{}, false
	}
	return f.statusCondition(name), true
}

// removeEmptied removes each host that is to be removed and can be, with its disk, as
// operators do once its status in the store says so.
func (f *fleet) removeEmptied() {
	for _, h := range f.hosts {
		if !h.running || !h.retiring || h.cutFromStore {
			continue
		}
		g, ok := f.manifest(f.ledger)
		s := cataloger.Snapshot{}.WithRetiring(h.name, true)
		for _, o := range f.hosts {
			if !o.removed {
				s = s.WithMember(cataloger.Member{Name: o.name, Role: cataloger.Bulk, Disk: o.disk})
			}
		}
		if ok {
			s = s.WithGroup(0, g)
		}
		if retirer.Plan(s, retirer.Self{Host: h.name, Disk: h.disk, MinHolders: 2}) != retirer.ReportEmpty {
			continue
		}
		_, err := f.ledger.Commit(context.Background(), storer.Transaction{
			Conditions: []storer.Condition{f.statusCondition(h.name), {Key: manifestKey, Revision: storer.Revision(g.Revision)}},
			Set:        []storer.Item{{Key: statusKey(h.name), Value: []byte("empty")}},
		})
		if err == nil {
			f.kill(h)
			f.wipe(h)
			h.removed = true
		}
	}
}

func (f *fleet) view(h *host, g cataloger.Group, started timer.Millis) mirrorer.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := mirrorer.View{MinHolders: 2, WantedHolders: 3, Stable: f.clock.Now()-f.changed > 3000, SilentFor: make(map[string]timer.Millis), Leaving: make(map[string]bool), Retiring: make(map[string]bool), Barred: f.barred}
	for _, o := range f.hosts {
		if o == h || (o.running && !h.cut[o.name]) {
			v.Reachable = append(v.Reachable, o.disk)
			v.Leaving[o.disk], v.Retiring[o.disk] = o.leaving, o.retiring
		}
	}
	for _, d := range append([]string{g.Owner}, g.Holders...) {
		if !slices.Contains(v.Reachable, d) {
			v.SilentFor[d] = f.clock.Now() - started
		}
	}
	return v
}

// setCut cuts or restores the connection between two hosts.
func (f *fleet) setCut(a, b *host, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.cut[b.name], b.cut[a.name] = on, on
	f.net.Cut(a.name, b.name, on)
	f.net.Cut(b.name, a.name, on)
}

// setCutFromStore cuts or restores a host's connection to the store.
func (f *fleet) setCutFromStore(h *host, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.cutFromStore = on
}

// setLeaving marks a host as about to stop.
func (f *fleet) setLeaving(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.leaving = true
}

// requireOnAllHolders checks that the disks of all holders named by the manifest have
// the wanted texts.
func (f *fleet) requireOnAllHolders(want ...string) {
	f.t.Helper()
	g, _ := f.manifest(f.ledger)
	for _, h := range f.hosts {
		if !g.Holds(h.disk) {
			continue
		}
		data, err := os.ReadFile(h.path)
		require.NoError(f.t, err)
		copied := filepath.Join(f.t.TempDir(), "copy")
		require.NoError(f.t, os.WriteFile(copied, data, 0o600))
		var got applied
		for _, s := range texts(f.t, open(f.t, copied)) {
			got = got.with(s)
		}
		for _, s := range want {
			require.Contains(f.t, got.texts, s, "disk %s is a holder", h.disk)
		}
	}
}

// callDelay is the latency of a message between hosts.
const callDelay timer.Millis = 4

// slowCaller is a Caller that delays its messages, so that faults happen while they are
// in flight.
type slowCaller struct{ messenger.Caller }

// Call implements messenger.Caller.
func (s slowCaller) Call(ctx context.Context, address string, m messenger.Method, body []byte, each func([]byte) error) error {
	timer.Sleep(ctx, callDelay)
	return s.Caller.Call(ctx, address, m, body, each)
}

// hostLedger is the store as seen by one host, which may be cut off from it.
type hostLedger struct {
	fleet *fleet
	host  *host
}

func (r *hostLedger) unavailable() error {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.host.cutFromStore {
		return &storer.UnavailableError{Call: "any"}
	}
	return nil
}

func (r *hostLedger) Range(ctx context.Context, prefix string) ([]storer.Item, storer.Revision, error) {
	if err := r.unavailable(); err != nil {
		return nil, 0, err
	}
	return r.fleet.ledger.Range(ctx, prefix)
}

func (r *hostLedger) Commit(ctx context.Context, t storer.Transaction) (storer.Revision, error) {
	r.fleet.mu.Lock()
	r.fleet.commits++
	r.fleet.mu.Unlock()
	if err := r.unavailable(); err != nil {
		return 0, err
	}
	return r.fleet.ledger.Commit(ctx, t)
}

func (r *hostLedger) Watch(context.Context, string, storer.Revision, timer.Millis) (storer.Changes, error) {
	return storer.Changes{}, &storer.UnavailableError{Call: "watch"}
}

func (r *hostLedger) Grant(context.Context, timer.Millis) (storer.Lease, error) { return 0, nil }
func (r *hostLedger) Renew(context.Context, storer.Lease) error                 { return nil }
func (r *hostLedger) Revoke(context.Context, storer.Lease) error                { return nil }

func sleep(m timer.Millis) { timer.Sleep(context.Background(), m) }

// owner returns the host that serves the group, or nil if there is none.
func (f *fleet) owner() *host {
	for _, h := range f.hosts {
		if h.running && h.replica.Serving(context.Background()) {
			return h
		}
	}
	return nil
}

// awaitOwner waits until a host serves the group.
func (f *fleet) awaitOwner(timeout timer.Millis) *host {
	f.t.Helper()
	for until := f.clock.Now() + timeout; f.clock.Now() < until; sleep(50) {
		if h := f.owner(); h != nil {
			return h
		}
	}
	require.Fail(f.t, "no host serves the group")
	return nil
}

func propose(h *host, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), (2 * timer.Second).Duration())
	defer cancel()
	return h.replica.Propose(ctx, []byte(text))
}

// requireOneServing checks throughout a period that no two hosts serve the group.
func (f *fleet) requireOneServing(period timer.Millis) {
	f.t.Helper()
	for until := f.clock.Now() + period; f.clock.Now() < until; sleep(5) {
		var serving []string
		for _, h := range f.hosts {
			if h.running && h.replica.Serving(context.Background()) {
				serving = append(serving, h.name)
			}
		}
		require.LessOrEqual(f.t, len(serving), 1, "%v serve the group", serving)
	}
}
