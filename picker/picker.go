// Package picker chooses backend servers for calls and counts the calls that this
// host has in flight at each of them, and those that count towards a server's limit or
// this host's share of a cold server. Servers of evacuated data centres, and those outside
// of a call's allowed regions, are not chosen.
// Choosing and counting are one atomic step, so concurrent calls do not all choose the
// same server.
package picker

import (
	"errors"
	"fmt"
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/warmer"
)

// defaultSlots is the default for slots that neither a server nor its service states.
const defaultSlots = 8

// Options configures a Picker. All but Warmer and Seed are required. The functions must be
// safe for concurrent use. All but OnChange may be called with the Picker's lock held, so
// they must not call the Picker.
type Options struct {
	// Snapshot returns the known state of the fleet.
	Snapshot func() cataloger.Snapshot
	// RemoteLoad returns the calls that other hosts have in flight at a server.
	RemoteLoad func(server string) gossiper.Load
	Ejector    *ejector.Ejector
	// Leaving reports whether a server has announced that it is leaving, or
	// has stopped.
	Leaving func(v cataloger.Incarnation) bool
	// Slowdown returns a server's slowdown factor: its latency as a multiple of the mean of
	// its service.
	Slowdown func(server string) float64
	// Throttler holds the limits that servers named.
	Throttler *throttler.Throttler
	// Warmer holds this host's shares of cold servers; nil means not to limit them.
	Warmer *warmer.Warmer
	// Seed returns the seed of a random choice, or zero for the best of all servers, as
	// selector.Request.Seed says; nil means zero.
	Seed func() uint64
	// OnChange is called, without the lock, after a count has changed.
	OnChange   func()
	DataCentre string
	// Zones holds the regions of the servers' data centres.
	Zones localizer.Zones
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

// Reservation reserves a server for one call, which is counted until Release. It must be
// used by one goroutine at a time.
type Reservation struct {
	Server cataloger.Server
	// Load counts the other calls at the server at the time of the choice. It is
	// zero, as are Slots and Slowdown, in a Reservation that Reserve returns.
	Load  gossiper.Load
	Slots int
	// Slowdown is the server's slowdown factor at that time.
	Slowdown float64

	picker *Picker
	batch  bool
	once   sync.Once
	// mark is what was known of the server's limit before the call was sent. counted is
	// set if the call was counted towards the limit, sent if it reached the server.
	mark          throttler.Mark
	counted, sent bool
	// claim is the call's place in the share of a cold server; nil if it has none.
	claim *warmer.Claim
}

// ServerFull reports whether all slots were taken, so that the call has to wait for
// one.
func (r *Reservation) ServerFull() bool { return r.Load.Online+r.Load.Batch >= r.Slots }

// SetSent records whether the call reached the server, or is about to. A call that did
// not by the time of Release does not count towards the server's limit.
func (r *Reservation) SetSent(sent bool) { r.sent = sent }

// Answered applies what the head of the answer says about the server's limit: the values of
// the header that names it. whole is set for answers that name a limit if there is one.
func (r *Reservation) Answered(limit []string, whole bool) {
	r.picker.options.Throttler.Heard(r.Server.Incarnation(), r.mark, limit, whole)
}

// Paused records that the server refused the call and takes others only after a time.
func (r *Reservation) Paused(d timer.Millis) {
	r.picker.options.Throttler.Pause(r.Server.Incarnation(), d)
}

// Misdirected records that the server took the call for one to another server and did not
// run it. Such a call does not count towards the share of a cold server.
func (r *Reservation) Misdirected() { r.refundClaim() }

// refundClaim returns the call's place in the share of a cold server.
func (r *Reservation) refundClaim() {
	r.picker.options.Warmer.Refund(r.claim)
	r.claim = nil
}

// Release stops counting the call. Only the first Release has an effect.
func (r *Reservation) Release() {
	r.once.Do(func() {
		if r.counted && !r.sent {
			r.picker.options.Throttler.Refund(r.Server.Incarnation())
		}
		if !r.sent {
			r.refundClaim()
		}
		r.picker.countAndNotify(r.Server.ID, r.batch, -1)
	})
}

// NoServerError reports that no server of a service can be used.
type NoServerError struct {
	Service string
	// Evacuated is the number of its servers in evacuated data centres.
	Evacuated int
}

func (e *NoServerError) Error() string {
	if e.Evacuated == 0 {
		return "no usable server of service " + e.Service
	}
	return fmt.Sprintf("no usable server of service %s outside evacuated data centres, which have %d", e.Service, e.Evacuated)
}

// NotPermittedError reports that no server in the allowed regions of a call can be used.
type NotPermittedError struct {
	Service string
	Allowed localizer.Set
	// Servers is the number of the service's servers, Permitted that of those in the allowed
	// regions.
	Servers, Permitted int
}

func (e *NotPermittedError) Error() string {
	if e.Allowed.Empty() {
		return "the allowed regions of the route and of the workspace have none in common"
	}
	return "no usable server of service " + e.Service + " in the allowed regions"
}

// HeldBackError reports that the limits of the usable servers, or this host's shares of
// those that are cold, leave no room for a call.
type HeldBackError struct {
	Service string
	// Servers is their number, of which Cold are cold, and Rate the sum of their limits in
	// requests a second.
	Servers, Cold int
	Rate          float64
	// RetryAfter is the time after which the first of them may have room, Age the time
	// since the newest of their limits was confirmed.
	RetryAfter, Age timer.Millis
}

func (e *HeldBackError) Error() string {
	return fmt.Sprintf("limits of %d servers of service %s, of which %d are cold, %g requests/s together, leave no room",
		e.Servers, e.Service, e.Cold, e.Rate)
}

// heldBackError returns the error for a call that these candidates have no room for.
func heldBackError(service string, list []selector.Candidate) *HeldBackError {
	e := &HeldBackError{Service: service, Servers: len(list)}
	for i, c := range list {
		e.Rate += c.Room.Rate
		if c.Room.Cold {
			e.Cold++
		}
		if i == 0 || c.Room.RetryAfter < e.RetryAfter {
			e.RetryAfter = c.Room.RetryAfter
		}
		if i == 0 || c.Room.Age < e.Age {
			e.Age = c.Room.Age
		}
	}
	return e
}

// Pick chooses a server of service for an online call and counts the call there. If a
// sample of the servers has none, it considers all of them. It returns a *NoServerError,
// a *NotPermittedError or a *HeldBackError if there is none.
func (p *Picker) Pick(service string, r selector.Request) (*Reservation, error) {
	s := p.options.Snapshot()
	r.DataCentre = p.options.DataCentre
	if p.options.Seed != nil {
		r.Seed = p.options.Seed()
	}
	allowed := r.Subject.Allowed(s.Config)
	servers := s.ServersOf(service)
	known := len(servers)
	if allowed.Restricted() {
		servers = p.permitted(servers, allowed)
	}
	p.mu.Lock()
	out, err := p.pick(s, r, service, sample(servers, r.PromptPrefix))
	if err != nil && len(servers) >= sampleThreshold {
		out, err = p.pick(s, r, service, allOf(servers))
	}
	p.mu.Unlock()
	if err != nil {
		outside := NotPermittedError{Service: service, Allowed: allowed, Servers: known, Permitted: len(servers)}
		return nil, withRegions(err, outside)
	}
	p.options.OnChange()
	return out, nil
}

// withRegions returns e in place of a *NoServerError for a call that is restricted to regions,
// and otherwise err.
func withRegions(err error, e NotPermittedError) error {
	var none *NoServerError
	if e.Allowed.Restricted() && errors.As(err, &none) {
		return &e
	}
	return err
}

// permitted returns the servers of list in the allowed regions.
func (p *Picker) permitted(list []cataloger.Server, allowed localizer.Set) []cataloger.Server {
	var out []cataloger.Server
	for _, v := range list {
		if allowed.Permits(p.options.Zones.RegionOf(v.DataCentre)) {
			out = append(out, v)
		}
	}
	return out
}

// pick chooses one of servers and counts the call there. p.mu must be held.
func (p *Picker) pick(s cataloger.Snapshot, r selector.Request, service string, servers subset) (*Reservation, error) {
	class := throttler.Online{Rank: r.Rank}
	list := p.candidates(s, servers, class)
	for {
		i := selector.Choose(r, list)
		if i < 0 {
			if held := selector.HeldBack(r, list); len(held) > 0 {
				return nil, heldBackError(service, held)
			}
			return nil, &NoServerError{Service: service, Evacuated: evacuatedServers(s, service)}
		}
		out := p.newReservation(list[i])
		if p.take(s, out, class) {
			p.add(out.Server.ID, false, 1)
			return out, nil
		}
		// Another host's report used up the limit after the candidates were listed.
		list[i].Room = p.options.Throttler.Room(out.Server.Incarnation(), class).And(p.coldRoom(s, out.Server))
		list[i].Room.Open = false
	}
}

// coldRoom returns what this host's share of a server leaves if it is cold.
func (p *Picker) coldRoom(s cataloger.Snapshot, v cataloger.Server) throttler.Room {
	return p.options.Warmer.Room(v, s.WarmupRate(v.Service))
}

// take counts the call of r towards its server's limit, and towards this host's share if
// the server is cold. It returns false if there is no room for it.
func (p *Picker) take(s cataloger.Snapshot, r *Reservation, class throttler.Class) bool {
	ok := true
	if r.Server.Cold != nil {
		if r.claim, ok = p.options.Warmer.Take(r.Server, s.WarmupRate(r.Server.Service)); !ok {
			return false
		}
	}
	if r.counted, ok = p.options.Throttler.Take(r.Server.Incarnation(), class); !ok {
		r.refundClaim()
	}
	return ok
}

// evacuatedServers returns the number of servers of a service in evacuated data centres.
func evacuatedServers(s cataloger.Snapshot, service string) int {
	n := 0
	for _, v := range s.ServersOf(service) {
		if s.IsEvacuated(v) {
			n++
		}
	}
	return n
}

// Reserve counts a batch call at a server that was chosen elsewhere. It returns false if
// the server's limit, or this host's share of a cold server, leaves no room for it, or if
// the server is known to be evacuated by now.
func (p *Picker) Reserve(v cataloger.Server, class throttler.Batch) (*Reservation, bool) {
	s := p.options.Snapshot()
	if s.IsEvacuated(v) {
		return nil, false
	}
	if now, ok := s.Servers[v.ID]; ok && now.Incarnation() == v.Incarnation() {
		v.Cold = now.Cold
	}
	out := &Reservation{Server: v, picker: p, batch: true, mark: p.options.Throttler.Mark(v.Incarnation())}
	if !p.take(s, out, class) {
		return nil, false
	}
	p.countAndNotify(v.ID, true, 1)
	return out, true
}

// newReservation returns the Reservation of a call that has been counted.
func (p *Picker) newReservation(c selector.Candidate) *Reservation {
	return &Reservation{
		Server: c.Server, Load: gossiper.Load{Online: c.Online, Batch: c.Batch},
		Slots: c.Slots, Slowdown: c.Slowdown, picker: p, mark: p.options.Throttler.Mark(c.Server.Incarnation()),
	}
}

// slotsOf returns how many calls a server runs at the same time.
func slotsOf(s cataloger.Snapshot, v cataloger.Server) int {
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

// TotalSlots returns how many calls of a service run at the same time on all its servers
// that take calls.
func (p *Picker) TotalSlots(service string) int {
	s := p.options.Snapshot()
	n := 0
	for _, v := range s.ServersOf(service) {
		if !v.Draining && !s.IsEvacuated(v) && !p.options.Leaving(v.Incarnation()) {
			n += slotsOf(s, v)
		}
	}
	return n
}

// Candidates returns the servers of a service outside evacuated data centres with the calls
// that all hosts are known to have in flight there, and the room that their limits, and this
// host's shares of cold ones, leave for a batch item.
func (p *Picker) Candidates(service string, class throttler.Batch) []selector.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.options.Snapshot()
	return p.candidates(s, allOf(s.ServersOf(service)), class)
}

// candidates returns the candidates for servers, for a call of a class. p.mu must be held.
func (p *Picker) candidates(s cataloger.Snapshot, servers subset, class throttler.Class) []selector.Candidate {
	out := make([]selector.Candidate, 0, len(servers.list))
	for i, v := range servers.list {
		if len(s.Evacuated) > 0 && s.IsEvacuated(v) {
			continue
		}
		v.Draining = v.Draining || p.options.Leaving(v.Incarnation())
		mine, others := p.loads[v.ID], p.options.RemoteLoad(v.ID)
		c := selector.Candidate{Server: v, Online: mine.Online + others.Online, Batch: mine.Batch + others.Batch, Home: i < servers.homes}
		c.Slots, c.Slowdown = slotsOf(s, v), p.options.Slowdown(v.ID)
		if c.Room = p.options.Throttler.Room(v.Incarnation(), class); v.Cold != nil {
			c.Room = c.Room.And(p.coldRoom(s, v))
		}
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
