// Package picker chooses backend servers for calls and counts the calls that
// this host runs at each of them. A choice and its count are one step, so calls
// that come together do not all choose the same server.
package picker

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/selector"
)

// defaultSlots stands in for what a service and its server do not state.
const defaultSlots = 8

// Options are what a Picker chooses from.
type Options struct {
	// Snapshot returns what is known of the fleet.
	Snapshot func() cataloger.Snapshot
	// Others returns the calls that other hosts run at a server.
	Others  func(server string) gossiper.Load
	Ejector *ejector.Ejector
	// Departs says that a server leaves or is gone by its own word.
	Departs func(v cataloger.Incarnation) bool
	// Slowness returns how many times as long as its kin a server takes.
	Slowness func(server string) float64
	// Changed is called after a count changed.
	Changed    func()
	DataCentre string
}

// Picker is safe for concurrent use.
type Picker struct {
	options Options

	mu    sync.Mutex
	loads map[string]gossiper.Load
}

// New returns a Picker.
func New(o Options) *Picker {
	return &Picker{options: o, loads: make(map[string]gossiper.Load)}
}

// Ticket counts one call at a server until End.
type Ticket struct {
	Server cataloger.Server
	// Load is what the other calls at the server were when it was chosen.
	Load  gossiper.Load
	Slots int

	picker *Picker
	batch  bool
	once   sync.Once
}

// Crowded says that the call has to wait for a slot.
func (t *Ticket) ServerFull() bool { return t.Load.Online+t.Load.Batch >= t.Slots }

// End says that the call has ended. Repeated calls do nothing.
func (t *Ticket) End() {
	t.once.Do(func() { t.picker.countAndNotify(t.Server.ID, t.batch, -1) })
}

// Pick chooses a server of service for an online call and counts it there.
func (p *Picker) Pick(service string, r selector.Request) (*Ticket, bool) {
	s := p.options.Snapshot()
	r.DataCentre = p.options.DataCentre
	p.mu.Lock()
	servers := s.ServersOf(service)
	list := p.candidates(s, sample(servers, r.Prompt))
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
	p.options.Changed()
	return p.ticket(s, c, false), true
}

// Take counts a batch call at a server that the caller chose.
func (p *Picker) Take(v cataloger.Server) *Ticket {
	p.countAndNotify(v.ID, true, 1)
	return &Ticket{Server: v, picker: p, batch: true}
}

func (p *Picker) ticket(s cataloger.Snapshot, c selector.Candidate, batch bool) *Ticket {
	return &Ticket{
		Server: c.Server, Load: gossiper.Load{Online: c.Online, Batch: c.Batch},
		Slots: Slots(s, c.Server), picker: p, batch: batch,
	}
}

// Slots is how many calls a server runs at once.
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

// Candidates lists the servers of a service with all calls known to run there.
func (p *Picker) Candidates(service string) []selector.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.options.Snapshot()
	return p.candidates(s, allOf(s.ServersOf(service)))
}

func (p *Picker) candidates(s cataloger.Snapshot, servers subset) []selector.Candidate {
	out := make([]selector.Candidate, 0, len(servers.list))
	for i, v := range servers.list {
		v.Draining = v.Draining || p.options.Departs(v.Incarnation())
		mine, others := p.loads[v.ID], p.options.Others(v.ID)
		c := selector.Candidate{Server: v, Online: mine.Online + others.Online, Batch: mine.Batch + others.Batch, Home: i < servers.homes}
		c.Slots, c.Slowness = Slots(s, v), p.options.Slowness(v.ID)
		c.Usable = p.options.Ejector.Usable(v.ID, c.Online+c.Batch > c.Slots)
		out = append(out, c)
	}
	return out
}

// Loads returns the calls that this host runs, by server.
func (p *Picker) Loads() map[string]gossiper.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]gossiper.Load, len(p.loads))
	for id, l := range p.loads {
		out[id] = l
	}
	return out
}

func (p *Picker) countAndNotify(server string, batch bool, by int) {
	p.mu.Lock()
	p.add(server, batch, by)
	p.mu.Unlock()
	p.options.Changed()
}

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
