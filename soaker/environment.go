package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	entryRole = "entry"
	bulkRole  = "bulk"
	// plainWorkspace and greedyWorkspace are the two workspaces. The callers of
	// greedyWorkspace send more than its quota; plainWorkspace has none.
	plainWorkspace, greedyWorkspace = "plain", "greedy"
	greedyRate, greedyBurst         = 12.0, 6.0
	// keySettleTime is the time after which every undisturbed host accepts a new key.
	keySettleTime = 4 * time.Second
	// hostSettleTime is how long before an attempt a host must have been undisturbed
	// for the attempt to count as undisturbed.
	hostSettleTime = 3 * time.Second
	// avoidFor is how long callers avoid an address after a failed attempt.
	avoidFor = time.Second
)

// server is a backend server and the proxy through which hosts reach it.
type server struct {
	*standin.Server
	proxy           *proxy
	mu              sync.Mutex
	undisturbedFrom time.Time
}

// environment is everything around the fleet: the store, the backend servers, the
// operator, and the addresses and keys that callers use. It also has the hosts and
// the checker.
type environment struct {
	ledger *storer.MemoryLedger
	// store is what hosts reach of ledger: some of their writes are late.
	store       *storer.LateLedger
	late        *lateWrites
	operator    *standin.Operator
	storeServer *http.Server
	// resolver queries hosts for the addresses that callers should connect to.
	resolver *standin.Caller
	checker  *checker
	hosts    []*host
	// onCrash is called before a call crashes a server, with the part of the prompt that
	// crashes it, if any. It returns whether the call gets one event first. It is nil in
	// soaks where no call crashes servers.
	onCrash func(s *server, part string) bool

	// configMu serializes writes of configurations.
	configMu sync.Mutex

	mu         sync.Mutex
	servers    []*server
	lastServer int
	// keys maps the keys of each workspace to the time since when they have been in
	// force, zero if they are not yet.
	keys        map[string]map[string]time.Time
	lastKey     int
	addresses   []string
	lastResolve time.Time
	avoided     map[string]time.Time
}

func newEnvironment(seed uint64) (*environment, string, error) {
	e := &environment{
		ledger: storer.NewMemoryLedger(timer.System()), checker: newChecker(), avoided: make(map[string]time.Time), resolver: newCaller(),
		keys: map[string]map[string]time.Time{plainWorkspace: {}, greedyWorkspace: {}}, late: newLateWrites(seed),
	}
	e.store = storer.NewLateLedger(e.ledger, e.late.draw)
	e.operator = standin.NewOperator(e.ledger)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	store := standin.NewStore(e.store)
	store.OnWrite(e.showProxies)
	e.storeServer = &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.storeServer.Serve(l) }()
	return e, l.Addr().String(), nil
}

func (e *environment) close() {
	for _, s := range e.allServers() {
		s.Crash()
		s.proxy.close()
	}
	_ = e.storeServer.Close()
}

// stallStore makes the store answer no host until resumeStore.
func (e *environment) stallStore() {
	for _, h := range e.hosts {
		h.storeProxy.set(stall{})
	}
}

func (e *environment) resumeStore() {
	for _, h := range e.hosts {
		h.storeProxy.set(passThrough{})
	}
}

// addServer starts a backend server and writes its entry to the store. If only the
// entry could not be written, the server is the last one of allServers.
func (e *environment) addServer(ctx context.Context) error {
	e.mu.Lock()
	e.lastServer++
	id := fmt.Sprintf("i-%03d", e.lastServer)
	e.mu.Unlock()
	s := &server{undisturbedFrom: time.Now()}
	var err error
	s.Server, err = standin.NewServer(id, dataCentreOf(id), e.ledger, func(target string) string {
		s.proxy, err = newProxy(target)
		return s.proxy.address()
	}, e.checker.observeRun)
	if err != nil {
		return err
	}
	if e.onCrash != nil {
		s.OnCrash(func(part string) bool { return e.onCrash(s, part) })
	}
	e.mu.Lock()
	e.servers = append(e.servers, s)
	e.mu.Unlock()
	return s.WriteEntry(ctx, false)
}

func (e *environment) allServers() []*server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.servers)
}

// removeServer removes a crashed server from the list.
func (e *environment) removeServer(s *server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers = slices.DeleteFunc(e.servers, func(o *server) bool { return o == s })
}

// setDisturbedUntil records that the server is disturbed until the given time.
func (s *server) setDisturbedUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undisturbedFrom = until
}

// serversUndisturbedSince reports whether no server has been disturbed since t.
func (e *environment) serversUndisturbedSince(t time.Time) bool {
	for _, s := range e.allServers() {
		s.mu.Lock()
		undisturbed := s.undisturbedFrom.Before(t)
		s.mu.Unlock()
		if !undisturbed || !s.proxy.undisturbedSince(t) {
			return false
		}
	}
	return true
}

// addKey adds a key to a workspace. It is in force once configure has written it.
func (e *environment) addKey(workspace string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastKey++
	e.keys[workspace][fmt.Sprintf("key-%s-%d", workspace, e.lastKey)] = time.Time{}
}

// configure writes the desired configuration, and retries until the store accepts it
// or ctx ends. Writes are serialized, so that none overwrites a later configuration.
func (e *environment) configure(ctx context.Context) error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	for {
		list := e.desiredWorkspaces()
		err := e.operator.Write(ctx, list)
		if err == nil {
			e.markInForce(list)
			return nil
		}
		if !timer.Sleep(ctx, 200) {
			return err
		}
	}
}

// markInForce records that the keys of list are in force from now on.
func (e *environment) markInForce(list []standin.Workspace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range list {
		for _, key := range v.Keys {
			if since, ok := e.keys[v.Name][key]; ok && since.IsZero() {
				e.keys[v.Name][key] = time.Now()
			}
		}
	}
}

// desiredWorkspaces returns the workspaces of the configuration to write.
func (e *environment) desiredWorkspaces() []standin.Workspace {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []standin.Workspace{{Name: plainWorkspace}, {Name: greedyWorkspace, Rate: greedyRate, Burst: greedyBurst}}
	for i := range list {
		for key := range e.keys[list[i].Name] {
			list[i].Keys = append(list[i].Keys, key)
		}
		slices.Sort(list[i].Keys)
	}
	return list
}

// withdrawKey adds a key to a workspace, and withdraws its oldest key if another one
// is in force.
func (e *environment) withdrawKey(ctx context.Context, workspace string) error {
	e.addKey(workspace)
	oldest := e.removeOldestKey(workspace)
	if err := e.configure(ctx); err != nil {
		return err
	}
	if oldest != "" {
		e.checker.keyWithdrawn(oldest)
	}
	return nil
}

// removeOldestKey removes and returns the oldest key in force. It returns "" if fewer
// than two keys are in force.
func (e *environment) removeOldestKey(workspace string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest, inForceCount := "", 0
	for key, since := range e.keys[workspace] {
		if since.IsZero() {
			continue
		}
		inForceCount++
		if oldest == "" || since.Before(e.keys[workspace][oldest]) {
			oldest = key
		}
	}
	if inForceCount < 2 {
		return ""
	}
	delete(e.keys[workspace], oldest)
	return oldest
}

// pickKey returns a random key of a workspace and since when it has been in force. It
// prefers keys in force for longer than keySettleTime, which every undisturbed host
// accepts. In one of five calls it returns a withdrawn key instead, if there is one.
func (e *environment) pickKey(r *rand.Rand, workspace string) (string, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var settled, recent []string
	for key, since := range e.keys[workspace] {
		switch {
		case since.IsZero():
		case time.Since(since) > keySettleTime:
			settled = append(settled, key)
		default:
			recent = append(recent, key)
		}
	}
	if len(settled) == 0 {
		settled = recent
	}
	slices.Sort(settled)
	if withdrawn := e.checker.withdrawnKeys(workspace); len(withdrawn) > 0 && r.IntN(5) == 0 {
		return withdrawn[r.IntN(len(withdrawn))], time.Now()
	}
	key := settled[r.IntN(len(settled))]
	return key, e.keys[workspace][key]
}

// hasKey reports whether a workspace still has a key.
func (e *environment) hasKey(workspace, key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.keys[workspace][key]
	return ok
}

// pickHost returns a random address from the directory that a host returned last, and
// the host with that address. It returns false if no address is usable. At most once a
// second it refreshes the addresses in the background.
func (e *environment) pickHost(r *rand.Rand) (string, *host, bool) {
	e.mu.Lock()
	if time.Since(e.lastResolve) > time.Second {
		e.lastResolve = time.Now()
		go e.resolve(r.IntN(len(e.hosts)))
	}
	candidates := slices.DeleteFunc(slices.Clone(e.addresses), func(a string) bool { return time.Since(e.avoided[a]) < avoidFor })
	e.mu.Unlock()
	if len(candidates) == 0 {
		time.Sleep(20 * time.Millisecond)
		return "", nil, false
	}
	address := candidates[r.IntN(len(candidates))]
	for _, h := range e.hosts {
		if h.callersAddr == address {
			return address, h, true
		}
	}
	e.checker.report("directories list only the fleet's hosts", "address %s", address)
	return "", nil, false
}

// resolve queries the entry hosts for callers' addresses, from index first on, until one
// returns some.
func (e *environment) resolve(first int) {
	for i := range e.hosts {
		h := e.hosts[(first+i)%len(e.hosts)]
		if h.role != entryRole {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := e.resolver.Resolve(ctx, h.directoryAddr)
		cancel()
		if err == nil && len(list) > 0 {
			e.mu.Lock()
			e.addresses = list
			e.mu.Unlock()
			return
		}
	}
}

// avoid makes callers avoid an address for avoidFor.
func (e *environment) avoid(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoided[address] = time.Now()
}

// withdrawnKeys returns the withdrawn keys of a workspace, sorted.
func (c *checker) withdrawnKeys(workspace string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for key := range c.withdrawn {
		if len(key) > len("key-"+workspace) && key[:len("key-"+workspace)] == "key-"+workspace {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// dataCentreOf returns the data centre of a host or server. The last character of the
// name determines which of the three it is.
func dataCentreOf(name string) string { return fmt.Sprintf("d%d", name[len(name)-1]%3) }
