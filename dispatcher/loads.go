package dispatcher

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Load is what a keeper host knows of one of its servers.
type Load struct {
	Server string `cbor:"1,keyasint"`
	// Healthy says that the server answered its last probes.
	Healthy bool `cbor:"2,keyasint"`
	// InFlight and Waiting are the keeper host's exact ledger.
	InFlight int `cbor:"3,keyasint"`
	Waiting  int `cbor:"4,keyasint"`
	// Online and Batch are the parts of InFlight.
	Online int `cbor:"5,keyasint"`
	Batch  int `cbor:"6,keyasint"`
	// Report is what the server last said of itself, which lags.
	Report EngineReport `cbor:"7,keyasint"`
	// Age is how old Report was when this Load was sent, in milliseconds.
	Age timer.Millis `cbor:"8,keyasint"`
	// Yielding are the batch calls, of InFlight and Waiting, that give way to
	// online calls at once.
	Yielding int `cbor:"9,keyasint"`
}

// EngineReport is a backend server's answer to a load probe.
type EngineReport struct {
	Running int      `cbor:"1,keyasint" json:"running"`
	Waiting int      `cbor:"2,keyasint" json:"waiting"`
	Slots   int      `cbor:"3,keyasint" json:"slots"`
	Models  []string `cbor:"4,keyasint" json:"models"`
	// CacheBlocks is how many prompt blocks the server can keep, and
	// CacheBlocksUsed how many it does.
	CacheBlocks     int    `cbor:"5,keyasint" json:"cache-blocks"`
	CacheBlocksUsed int    `cbor:"6,keyasint" json:"cache-blocks-used"`
	Role            string `cbor:"7,keyasint" json:"role"`
}

// loads has what this host knows of servers: its own by probing, the others'
// by their keeper hosts' reports.
type loads struct {
	mu      sync.Mutex
	entries map[string]*loadEntry
}

type loadEntry struct {
	load     Load
	known    bool
	failures int
	// probed is when the server last answered this host's probe.
	probed timer.Millis
	// unreported counts the calls that this host has sent and whose end it has
	// not seen. Between two reports it is the better figure.
	unreported int
	// unreportedOnline are the online calls among them.
	unreportedOnline int
}

// failuresUntilUnhealthy is how many probes in a row a healthy server misses.
const failuresUntilUnhealthy = 2

func newLoads() *loads { return &loads{entries: make(map[string]*loadEntry)} }

func (l *loads) entry(server string) *loadEntry {
	e, ok := l.entries[server]
	if !ok {
		e = &loadEntry{load: Load{Server: server}}
		l.entries[server] = e
	}
	return e
}

// sent notes that a call to server begins (1) or ends (-1) on this host.
func (l *loads) sent(server string, class requester.Class, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(server)
	e.unreported += n
	if class == requester.Online {
		e.unreportedOnline += n
	}
}

// report takes in what a server's keeper host says.
func (l *loads) report(r Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(r.Server)
	e.load, e.known = r, true
}

// failed notes that server could not be reached.
func (l *loads) failed(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(server)
	e.failures = failuresUntilUnhealthy
	e.load.Healthy, e.known = false, true
}

// probe takes in the answer to a probe of one of this host's servers.
func (l *loads) probe(server string, r EngineReport, ok bool, now timer.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(server)
	e.known = true
	if !ok {
		e.failures++
		e.load.Healthy = e.load.Healthy && e.failures < failuresUntilUnhealthy
		return
	}
	e.failures, e.probed = 0, now
	e.load.Healthy, e.load.Report = true, r
}

// candidate returns b with what is known of it, for a call of this class. The
// load is never below what this host itself has in flight there.
func (l *loads) candidate(b *registrar.BackendServer, class requester.Class) Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[b.Name]
	if !ok {
		return Candidate{Server: *b}
	}
	c := Candidate{Server: *b, Load: e.load, Known: e.known}
	c.Load.InFlight = max(c.Load.InFlight, e.unreported-c.Load.Waiting)
	c.Competing = c.Load.InFlight + c.Load.Waiting
	if class == requester.Online {
		c.Competing = max(e.load.InFlight+e.load.Waiting-e.load.Yielding, e.unreportedOnline)
	}
	return c
}

// own returns what this host knows of a server of its own.
func (d *Dispatcher) own(server string) Load {
	k := d.options.Slots.Load(server)
	now := d.options.Clock.Now()
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	e := d.loads.entry(server)
	out := e.load
	out.Online, out.Batch = k.RunningOnline, k.RunningBatch
	out.InFlight = k.RunningOnline + k.RunningBatch
	out.Waiting = k.WaitingOnline + k.WaitingBatch
	out.Yielding = k.Preemptible
	out.Age = now - e.probed
	return out
}
