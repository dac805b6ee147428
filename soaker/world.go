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
	// plain and greedy are the workspaces. greedy sends more than its quota.
	plain, greedy           = "plain", "greedy"
	greedyRate, greedyBurst = 12.0, 6.0
	// settleKeys is after how long every host in touch knows a new key.
	settleKeys = 4 * time.Second
	// settleHost is how long a host must have run undisturbed to be in touch.
	settleHost = 3 * time.Second
	// avoidFor is how long callers leave out an address that failed them.
	avoidFor = time.Second
)

// server is a backend server behind its proxy.
type server struct {
	*standin.Server
	proxy *proxy
	mu    sync.Mutex
	calm  time.Time
}

// world is all that is not the fleet: store, servers, operator, callers' memory.
type world struct {
	ledger   *storer.MemoryLedger
	operator *standin.Operator
	store    *http.Server
	// asker asks hosts where callers should connect.
	asker *standin.Caller
	judge *judge
	hosts []*host
	// crashing is told of a server that ends under a call, and says whether the call
	// gets an event first; nil where no call crashes servers.
	crashing func(*server) bool

	// writing orders those who write configurations.
	writing sync.Mutex

	mu      sync.Mutex
	servers []*server
	nextID  int
	// keys are those of each workspace, since when they have been in force.
	keys    map[string]map[string]time.Time
	nextKey int
	known   []string
	asked   time.Time
	avoided map[string]time.Time
}

func newWorld() (*world, string, error) {
	w := &world{
		ledger: storer.NewMemoryLedger(timer.System()), judge: newJudge(), avoided: make(map[string]time.Time), asker: newCaller(),
		keys: map[string]map[string]time.Time{plain: {}, greedy: {}},
	}
	w.operator = standin.NewOperator(w.ledger)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	w.store = &http.Server{Handler: standin.NewStore(w.ledger), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.store.Serve(l) }()
	return w, l.Addr().String(), nil
}

func (w *world) close() {
	for _, s := range w.allServers() {
		s.Crash()
		s.proxy.close()
	}
	_ = w.store.Close()
}

// addServer starts a server and announces it.
func (w *world) addServer(ctx context.Context) error {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%03d", w.nextID)
	w.mu.Unlock()
	s := &server{calm: time.Now()}
	var err error
	s.Server, err = standin.NewServer(id, dataCentreOf(id), w.ledger, func(target string) string {
		s.proxy, err = newProxy(target)
		return s.proxy.address()
	}, w.judge.ran)
	if err != nil {
		return err
	}
	if w.crashing != nil {
		s.OnCrash(func() bool { return w.crashing(s) })
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s.Announce(ctx, false)
}

func (w *world) allServers() []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.servers)
}

// removeServer forgets a server that has ended.
func (w *world) removeServer(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = slices.DeleteFunc(w.servers, func(o *server) bool { return o == s })
}

// disturbed notes that a server is disturbed until further notice.
func (s *server) disturbed(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calm = until
}

// serversCalmSince says whether no server was disturbed since an instant.
func (w *world) serversCalmSince(t time.Time) bool {
	for _, s := range w.allServers() {
		s.mu.Lock()
		calm := s.calm.Before(t)
		s.mu.Unlock()
		if !calm || !s.proxy.calmSince(t) {
			return false
		}
	}
	return true
}

// addKey gives a workspace a further key, which is not in force yet.
func (w *world) addKey(workspace string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextKey++
	w.keys[workspace][fmt.Sprintf("key-%s-%d", workspace, w.nextKey)] = time.Time{}
}

// configure writes the configuration as it should be now, until the store has
// taken it. One configuration is written at a time, so that none replaces a later
// one.
func (w *world) configure(ctx context.Context) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	for {
		list := w.workspaces()
		err := w.operator.Write(ctx, list)
		if err == nil {
			w.inForce(list)
			return nil
		}
		if !timer.Sleep(ctx, 200) {
			return err
		}
	}
}

// inForce notes that the keys of list are in force.
func (w *world) inForce(list []standin.Workspace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range list {
		for _, key := range v.Keys {
			if since, ok := w.keys[v.Name][key]; ok && since.IsZero() {
				w.keys[v.Name][key] = time.Now()
			}
		}
	}
}

// workspaces are those of the configuration as it should be now.
func (w *world) workspaces() []standin.Workspace {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []standin.Workspace{{Name: plain}, {Name: greedy, Rate: greedyRate, Burst: greedyBurst}}
	for i := range list {
		for key := range w.keys[list[i].Name] {
			list[i].Keys = append(list[i].Keys, key)
		}
		slices.Sort(list[i].Keys)
	}
	return list
}

// withdraw takes the oldest key of a workspace away, if it keeps one that is in
// force, and gives it another one.
func (w *world) withdraw(ctx context.Context, workspace string) error {
	w.addKey(workspace)
	oldest := w.takeOldest(workspace)
	if err := w.configure(ctx); err != nil {
		return err
	}
	if oldest != "" {
		w.judge.withdraws(oldest)
	}
	return nil
}

// takeOldest removes the oldest key in force, or returns nothing when it is the
// only one.
func (w *world) takeOldest(workspace string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest, inForce := "", 0
	for key, since := range w.keys[workspace] {
		if since.IsZero() {
			continue
		}
		inForce++
		if oldest == "" || since.Before(w.keys[workspace][oldest]) {
			oldest = key
		}
	}
	if inForce < 2 {
		return ""
	}
	delete(w.keys[workspace], oldest)
	return oldest
}

// key returns a key of a workspace, one that is in force everywhere if there is
// one; now and then it returns one that was withdrawn.
func (w *world) key(r *rand.Rand, workspace string) (string, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list, young []string
	for key, since := range w.keys[workspace] {
		switch {
		case since.IsZero():
		case time.Since(since) > settleKeys:
			list = append(list, key)
		default:
			young = append(young, key)
		}
	}
	if len(list) == 0 {
		list = young
	}
	slices.Sort(list)
	if withdrawn := w.judge.withdrawnKeys(workspace); len(withdrawn) > 0 && r.IntN(5) == 0 {
		return withdrawn[r.IntN(len(withdrawn))], time.Now()
	}
	key := list[r.IntN(len(list))]
	return key, w.keys[workspace][key]
}

// holds says whether a workspace still has a key.
func (w *world) holds(workspace, key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.keys[workspace][key]
	return ok
}

// pick returns an address that a host told, and its host.
func (w *world) pick(r *rand.Rand) (string, *host, bool) {
	w.mu.Lock()
	if time.Since(w.asked) > time.Second {
		w.asked = time.Now()
		go w.resolve(r.IntN(len(w.hosts)))
	}
	known := slices.DeleteFunc(slices.Clone(w.known), func(a string) bool { return time.Since(w.avoided[a]) < avoidFor })
	w.mu.Unlock()
	if len(known) == 0 {
		time.Sleep(20 * time.Millisecond)
		return "", nil, false
	}
	address := known[r.IntN(len(known))]
	for _, h := range w.hosts {
		if h.callers == address {
			return address, h, true
		}
	}
	w.judge.breaks("callers are told of the fleet's hosts only", "address %s", address)
	return "", nil, false
}

// resolve asks up to three hosts where to connect.
func (w *world) resolve(first int) {
	for i := range w.hosts {
		h := w.hosts[(first+i)%len(w.hosts)]
		if h.role != entryRole {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := w.asker.Resolve(ctx, h.directory)
		cancel()
		if err == nil && len(list) > 0 {
			w.mu.Lock()
			w.known = list
			w.mu.Unlock()
			return
		}
	}
}

// avoid leaves an address out for a while.
func (w *world) avoid(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.avoided[address] = time.Now()
}

// withdrawnKeys are the keys of a workspace that were withdrawn.
func (j *judge) withdrawnKeys(workspace string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for key := range j.withdrawn {
		if len(key) > len("key-"+workspace) && key[:len("key-"+workspace)] == "key-"+workspace {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// dataCentreOf spreads hosts and servers over three data centres.
func dataCentreOf(name string) string { return fmt.Sprintf("d%d", name[len(name)-1]%3) }
