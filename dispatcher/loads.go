package dispatcher

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Load is the load of a server as its keeper host reports it.
type Load struct {
	Server string `cbor:"1,keyasint"`
	// Healthy reports whether the server answered its last probes.
	Healthy bool `cbor:"2,keyasint"`
	// InFlight and Waiting are exact, from the keeper host's ledger, in a Load that
	// the keeper host sends; see type loads for the others.
	InFlight int `cbor:"3,keyasint"`
	Waiting  int `cbor:"4,keyasint"`
	// Online and Batch are the calls of each class in InFlight.
	Online int `cbor:"5,keyasint"`
	Batch  int `cbor:"6,keyasint"`
	// Report is the last load report of the server itself, which lags.
	Report EngineReport `cbor:"7,keyasint"`
	// Age is the age of Report when this Load was sent, in milliseconds.
	Age timer.Millis `cbor:"8,keyasint"`
	// Preemptible is the number of batch calls, in InFlight and Waiting, that are
	// preempted by online calls at once.
	Preemptible int `cbor:"9,keyasint"`
}

// EngineReport is a backend server's answer to a load probe.
type EngineReport struct {
	Running int      `cbor:"1,keyasint" json:"running"`
	Waiting int      `cbor:"2,keyasint" json:"waiting"`
	Slots   int      `cbor:"3,keyasint" json:"slots"`
	Models  []string `cbor:"4,keyasint" json:"models"`
	// CacheBlocks is the number of prompt blocks that the server can cache, and
	// CacheBlocksUsed the number it has cached.
	CacheBlocks     int    `cbor:"5,keyasint" json:"cache-blocks"`
	CacheBlocksUsed int    `cbor:"6,keyasint" json:"cache-blocks-used"`
	Role            string `cbor:"7,keyasint" json:"role"`
}

// loads records the loads of servers. The entry of another host's server is the last
// report of its keeper host. Of a server that this host owns, only the health and the
// Report are recorded, by probing; the other counts are zero or those of its former
// keeper host's last report. Only ownLoad includes the counts of this host's ledger.
type loads struct {
	mu      sync.Mutex
	entries map[string]*loadEntry
}

type loadEntry struct {
	load     Load
	known    bool
	failures int
	// probedAt is when the server last answered a probe of this host.
	probedAt timer.Millis
	// unreported is the number of calls that this host has sent and that have not
	// ended. Between two reports it is the more accurate number.
	unreported int
	// unreportedOnline is the number of online calls among them.
	unreportedOnline int
}

// failuresUntilUnhealthy is the number of consecutive failed probes after which a
// healthy server becomes unhealthy.
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

// addUnreported records that a call to server begins (n is 1) or ends (n is -1) on
// this host.
func (l *loads) addUnreported(server string, class requester.Class, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(server)
	e.unreported += n
	if class == requester.Online {
		e.unreportedOnline += n
	}
}

// update records a report of a server's keeper host.
func (l *loads) update(r Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(r.Server)
	e.load, e.known = r, true
}

// recordFailure records that server could not be reached.
func (l *loads) recordFailure(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(server)
	e.failures = failuresUntilUnhealthy
	e.load.Healthy, e.known = false, true
}

// recordProbe records the result of a probe of one of this host's servers.
func (l *loads) recordProbe(server string, r EngineReport, ok bool, now timer.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(server)
	e.known = true
	if !ok {
		e.failures++
		e.load.Healthy = e.load.Healthy && e.failures < failuresUntilUnhealthy
		return
	}
	e.failures, e.probedAt = 0, now
	e.load.Healthy, e.load.Report = true, r
}

// candidate returns b with its recorded load, for a call of this class. The load is
// never below the number of calls that this host itself has in flight there.
func (l *loads) candidate(b *registrar.BackendServer, class requester.Class) Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[b.Name]
	if !ok {
		return Candidate{Server: *b}
	}
	c := Candidate{Server: *b, Load: e.load, Known: e.known}
	c.Load.InFlight = max(c.Load.InFlight, e.unreported-c.Load.Waiting)
	if class == requester.Online {
		c.Competing = max(e.load.competingOnline(), e.unreportedOnline)
	} else {
		c.Competing = c.Load.InFlight + c.Load.Waiting
	}
	return c
}

// competingOnline returns the number of calls with which a new online call shares slots or
// for which it waits.
func (l Load) competingOnline() int { return l.InFlight + l.Waiting - l.Preemptible }

// ownCandidate returns b, a server that this host owns, with the exact counts of its
// ledger.
func (d *Dispatcher) ownCandidate(b *registrar.BackendServer, class requester.Class) Candidate {
	c := d.loads.candidate(b, class)
	c.Load = d.ownLoad(b.Name)
	c.Competing = c.Load.InFlight + c.Load.Waiting
	if class == requester.Online {
		c.Competing = c.Load.competingOnline()
	}
	return c
}

// ownLoad returns the load of a server that this host owns, with the counts of its
// ledger.
func (d *Dispatcher) ownLoad(server string) Load {
	k := d.options.Slots.Load(server)
	now := d.options.Clock.Now()
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	e := d.loads.entry(server)
	out := e.load
	out.Online, out.Batch = k.RunningOnline, k.RunningBatch
	out.InFlight = k.RunningOnline + k.RunningBatch
	out.Waiting = k.WaitingOnline + k.WaitingBatch
	out.Preemptible = k.Preemptible
	out.Age = now - e.probedAt
	return out
}
