// Package picker chooses backend servers for calls and counts the calls that this
// host has in flight at each of them. Choosing and counting are one atomic step, so
// concurrent calls do not all choose the same server.
package picker

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/selector"
)

// defaultSlots is the default for slots that neither a server nor its service states.
const defaultSlots = 8

// Options configures a Picker. All functions are required, and must be safe for
// concurrent use. All but OnChange may be called with the Picker's lock held, so they
// must not call the Picker.
type Options struct {
	// Snapshot returns the known state of the fleet.
	Snapshot func() cataloger.Snapshot
	// RemoteLoad returns the calls that other hosts have in flight at a server.
	RemoteLoad func(server string) gossiper.Load
	Ejector    *ejector.Ejector
	// Leaving reports whether a server has announced that it is leaving, or
	// has stopped.
	Leaving func(v cataloger.Incarnation) bool
	// Slowdown returns a server's slowdown factor: how many times as long it takes
	// as the other servers of its service.
	Slowdown func(server string) float64
	// OnChange is called, without the lock, after a count has changed.
	OnChange   func()
	DataCentre string
}

// Picker chooses servers and counts calls. It is safe for concurrent use.
type Picker struct {
	options Options

	mu sync.Mutex
	// loads holds the calls of this host by server. Servers without calls have no
	// entry.
	loads map[string]gossiper.Load
}

// New returns a Picker.
func New(o Options) *Picker {
	return &Picker{options: o, loads: make(map[string]gossiper.Load)}
}

// Reservation reserves a server for one call, which is counted until Release.
type Reservation struct {
	Server cataloger.Server
	// Load counts the other calls at the server at the time of the choice. It is
	// zero, as are Slots, in a Reservation that Reserve returns.
	Load  gossiper.Load
	Slots int

	picker *Picker
	batch  bool
	once   sync.Once
}

// ServerFull reports whether all slots were taken, so that the call has to wait for
// one.
func (r *Reservation) ServerFull() bool { return r.Load.Online+r.Load.Batch >= r.Slots }

// Release stops counting the call. Only the first Release has an effect.
func (r *Reservation) Release() {
	r.once.Do(func() { r.picker.countAndNotify(r.Server.ID, r.batch, -1) })
}

// Pick chooses a server of service for an online call and counts the call there. It
// returns false if no server is usable. If a sample of the servers has no usable one,
// it considers all of them.
func (p *Picker) Pick(service string, r selector.Request) (*Reservation, bool) {
	s := p.options.Snapshot()
	r.DataCentre = p.options.DataCentre
	p.mu.Lock()
	servers := s.ServersOf(service)
	list := p.candidates(s, sample(servers, r.PromptPrefix))
	i := selector.Choose(r, list)
	if i < 0 && len(list) < len(servers) {
		list = p.candidates(s, allOf(servers))
		i = selector.Choose(r, list)
	}
	if i < 0 {
		p.mu.Unlock()
		return nil, false
	}
	c := list[i]
	p.add(c.Server.ID, false, 1)
	p.mu.Unlock()
	p.options.OnChange()
	return p.newReservation(s, c, false), true
}

// Reserve counts a batch call at a server that was chosen elsewhere.
func (p *Picker) Reserve(v cataloger.Server) *Reservation {
	p.countAndNotify(v.ID, true, 1)
	return &Reservation{Server: v, picker: p, batch: true}
}

// newReservation returns the Reservation of a call that has been counted.
func (p *Picker) newReservation(s cataloger.Snapshot, c selector.Candidate, batch bool) *Reservation {
	return &Reservation{
		Server: c.Server, Load: gossiper.Load{Online: c.Online, Batch: c.Batch},
		Slots: Slots(s, c.Server), picker: p, batch: batch,
	}
}

// Slots returns how many calls a server runs at the same time.
func Slots(s cataloger.Snapshot, v cataloger.Server) int {
	if v.Slots > 0 {
		return v.Slots
	}
	if s.Config != nil {
		if d, ok := s.Config.Service(v.Service); ok && d.Slots > 0 {
			return d.Slots
		}
	}
	return defaultSlots
}

// Candidates returns the servers of a service with the calls that all hosts are known
// to have in flight there.
func (p *Picker) Candidates(service string) []selector.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.options.Snapshot()
	return p.candidates(s, allOf(s.ServersOf(service)))
}

// candidates returns the candidates for servers. p.mu must be held.
func (p *Picker) candidates(s cataloger.Snapshot, servers subset) []selector.Candidate {
	out := make([]selector.Candidate, 0, len(servers.list))
	for i, v := range servers.list {
		v.Draining = v.Draining || p.options.Leaving(v.Incarnation())
		mine, others := p.loads[v.ID], p.options.RemoteLoad(v.ID)
		c := selector.Candidate{Server: v, Online: mine.Online + others.Online, Batch: mine.Batch + others.Batch, Home: i < servers.homes}
		c.Slots, c.Slowdown = Slots(s, v), p.options.Slowdown(v.ID)
		c.Usable = p.options.Ejector.Usable(v.ID, c.Online+c.Batch > c.Slots)
		out = append(out, c)
	}
	return out
}

// Loads returns the calls that this host has in flight, by server.
func (p *Picker) Loads() map[string]gossiper.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]gossiper.Load, len(p.loads))
	for id, l := range p.loads {
		out[id] = l
	}
	return out
}

// countAndNotify changes a count and calls OnChange.
func (p *Picker) countAndNotify(server string, batch bool, by int) {
	p.mu.Lock()
	p.add(server, batch, by)
	p.mu.Unlock()
	p.options.OnChange()
}

// add changes a count. p.mu must be held.
func (p *Picker) add(server string, batch bool, by int) {
	l := p.loads[server]
	if batch {
		l.Batch += by
	} else {
		l.Online += by
	}
	if l.Online == 0 && l.Batch == 0 {
		delete(p.loads, server)
		return
	}
	p.loads[server] = l
}
