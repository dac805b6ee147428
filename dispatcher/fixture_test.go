package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/router"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
)

// engine is a fake backend server. serve is called for each connection.
type engine struct {
	name     string
	listener *fasthttputil.InmemoryListener
	serve    func(n int, c net.Conn)

	mu    sync.Mutex
	conns int
}

// fleet is a set of hosts in one process with fake backend servers.
type fleet struct {
	t       *testing.T
	network *messenger.Memory
	clock   timer.Clock
	record  registrar.Record
	hosts   map[string]*host
	// caller wraps the Caller of hosts that are added later.
	caller func(messenger.Caller) messenger.Caller

	mu      sync.Mutex
	engines map[string]*engine
	// beforeDial is called before each connection is made, unless nil.
	beforeDial func() error
}

type host struct {
	*dispatcher.Dispatcher
	name      string
	slots     *hookedSlots
	viewer    *viewer
	exchanger *exchanger.Exchanger
	ledgers   *dispatcher.Ledgers
	suspects  *suspectRecorder
	health    *healthRecorder
	hints     *router.Hints
}

// hookedSlots calls beforeAcquire, unless nil, when a call waits for its slot, and
// beforeRelease, unless nil, directly before a slot is released.
type hookedSlots struct {
	*dispatcher.Ledgers
	beforeAcquire func()
	beforeRelease func(keeper.Request)
}

func (h *hookedSlots) Acquire(ctx context.Context, b registrar.BackendServer, t keeper.Request) (keeper.Slot, error) {
	if h.beforeAcquire != nil {
		h.beforeAcquire()
	}
	s, err := h.Ledgers.Acquire(ctx, b, t)
	if err != nil || h.beforeRelease == nil {
		return s, err
	}
	return &hookedSlot{Slot: s, beforeRelease: func() { h.beforeRelease(t) }}, nil
}

// hookedSlot calls beforeRelease directly before it is released.
type hookedSlot struct {
	keeper.Slot
	beforeRelease func()
}

func (s *hookedSlot) Release() {
	s.beforeRelease()
	s.Slot.Release()
}

type viewer struct {
	mu sync.Mutex
	s  coordinator.Snapshot
}

func (v *viewer) View() coordinator.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.s
}

func (v *viewer) set(f func(*coordinator.Snapshot)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.s)
}

type suspectRecorder struct {
	mu      sync.Mutex
	crashes map[string][]uint64
	refused map[uint64]bool
	merged  []suspector.Records
}

func (s *suspectRecorder) Refused(c suspector.Call) (timer.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 0, s.refused[c.Fingerprint]
}

func (s *suspectRecorder) RecordCrash(server string, calls []suspector.Call) suspector.Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fs []uint64
	for _, c := range calls {
		fs = append(fs, c.Fingerprint)
	}
	s.crashes[server] = append(s.crashes[server], fs...)
	return suspector.Records{Crashes: []suspector.Crash{{ID: "crash", Server: server, Fingerprints: fs}}}
}

func (s *suspectRecorder) Merge(r suspector.Records) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merged = append(s.merged, r)
}

// healthRecorder is a Health that records its calls in order.
type healthRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (x *healthRecorder) record(what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls = append(x.calls, what)
}

func (x *healthRecorder) Failed(server string, _ timer.Millis) { x.record("failed " + server) }
func (x *healthRecorder) Succeeded(server string)              { x.record("succeeded " + server) }

func newFleet(t *testing.T, hosts int, servers ...string) *fleet {
	f := &fleet{
		t: t, network: messenger.NewMemory(), clock: timer.System(),
		engines: map[string]*engine{}, hosts: map[string]*host{},
	}
	f.record = registrar.Record{
		Version: 1, Epoch: 1,
		Workspaces: map[string]registrar.Workspace{"kitchen": {Name: "kitchen", Weight: 1}},
		Servers:    map[string]registrar.BackendServer{},
	}
	for _, s := range servers {
		f.record.Servers[s] = registrar.BackendServer{Name: s, Address: s, Kind: registrar.KindModel, Models: []string{"m"}, Slots: 4}
	}
	for i := range hosts {
		n := fmt.Sprintf("h%d", i)
		f.record.Members = append(f.record.Members, registrar.Member{Name: n, Incarnation: "1", PeerAddress: n})
	}
	for _, m := range f.record.Members {
		f.addHost(m)
	}
	return f
}

func (f *fleet) addHost(m registrar.Member) *host {
	v := &viewer{}
	v.set(func(s *coordinator.Snapshot) {
		*s = coordinator.Snapshot{Self: m, PermittedUntil: 1 << 40}.WithRecord(f.record)
	})
	h := &host{name: m.Name, viewer: v, health: &healthRecorder{}, hints: router.NewHints(4096), suspects: &suspectRecorder{crashes: map[string][]uint64{}, refused: map[uint64]bool{}}}
	h.exchanger = exchanger.New(exchanger.Options{
		Dial:             f.dial,
		FirstByteTimeout: 500, GapTimeout: 500, ConnectTimeout: 500,
	})
	h.ledgers = dispatcher.NewLedgers(v, keeper.Preemptive{}, f.clock, 16)
	h.slots = &hookedSlots{Ledgers: h.ledgers}
	peer := f.network.Host(m.PeerAddress, messenger.Peer{Name: m.Name, Incarnation: m.Incarnation})
	caller := messenger.Caller(peer)
	if f.caller != nil {
		caller = f.caller(caller)
	}
	d, err := dispatcher.New(dispatcher.Options{
		Viewer: v, Caller: caller, Registry: peer, Exchanger: h.exchanger, Slots: h.slots,
		Suspects: h.suspects, Health: h.health, Hints: h.hints, Clock: f.clock, Logger: zap.NewNop(),
		BackoffBase: 1, BackoffMax: 4, ProbeTimeout: 500,
	})
	require.NoError(f.t, err)
	h.Dispatcher = d
	f.hosts[m.Name] = h
	f.t.Cleanup(func() {
		d.Close()
		h.exchanger.Close()
		h.ledgers.Close()
	})
	return h
}

// nonMember returns a host that is not a member and owns no server.
func (f *fleet) nonMember() registrar.Member {
	return registrar.Member{Name: "stranger", Incarnation: "1", PeerAddress: "stranger"}
}

// setServer changes the configuration of a server on all hosts.
func (f *fleet) setServer(name string, change func(*registrar.BackendServer)) {
	b := f.record.Servers[name]
	change(&b)
	f.record.Servers[name] = b
}

func (f *fleet) dial(_ context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	beforeDial := f.beforeDial
	f.mu.Unlock()
	if beforeDial != nil {
		if err := beforeDial(); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	e, ok := f.engines[address]
	f.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("no server at %s", address)
	}
	return e.listener.Dial()
}

// engine starts the fake server with this name. serve is called for each connection
// with its number, from 0, and must close it.
func (f *fleet) engine(name string, serve func(n int, c net.Conn)) *engine {
	e := &engine{name: name, listener: fasthttputil.NewInmemoryListener(), serve: serve}
	f.mu.Lock()
	f.engines[name] = e
	f.mu.Unlock()
	go e.accept()
	f.t.Cleanup(func() { _ = e.listener.Close() })
	return e
}

// stopServer makes the server accept no new connections.
func (f *fleet) stopServer(name string) {
	f.mu.Lock()
	e := f.engines[name]
	delete(f.engines, name)
	f.mu.Unlock()
	_ = e.listener.Close()
}

// serveUntilCrash answers probes on c, and no other request, until crash is closed.
func serveUntilCrash(c net.Conn, crash <-chan struct{}) {
	defer func() { _ = c.Close() }()
	go func() {
		r := bufio.NewReader(c)
		var q fasthttp.Request
		for q.Read(r) == nil {
			if q.Header.IsGet() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}
		}
	}()
	<-crash
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		n := e.conns
		e.conns++
		e.mu.Unlock()
		go e.serve(n, c)
	}
}

// owner returns the keeper host of server, and another host.
func (f *fleet) owner(server string) (owner, other *host) {
	s := f.hosts["h0"].viewer.View()
	m, _ := s.Owner(coordinator.ServerObject(server))
	for n, h := range f.hosts {
		if n != m.Name {
			other = h
		}
	}
	return f.hosts[m.Name], other
}

// recordedAnswer is a Sink that records what it receives.
type recordedAnswer struct {
	status   int
	heads    int
	body     []byte
	received chan struct{}
}

func (a *recordedAnswer) Head(status int, _ []requester.Header) error {
	a.status = status
	a.heads++
	return nil
}

func (a *recordedAnswer) Body(p []byte) error {
	a.body = append(a.body, p...)
	if a.received != nil {
		a.received <- struct{}{}
	}
	return nil
}

func chatRequest(id string, stream bool) requester.Request {
	return requester.Request{
		ID: id, Workspace: "kitchen", Class: requester.Online, Method: "POST", Path: "/v1/chat/completions",
		Headers: []requester.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    []byte(`{"model":"m"}`), Model: "m", Repeatable: true, Stream: stream, Timeout: 5000, Fingerprint: 7,
	}
}
