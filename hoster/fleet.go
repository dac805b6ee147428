package hoster

import (
	"slices"
	"strings"
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// bulkSilence is how long a bulk host may be unheard and count as alive.
	bulkSilence timer.Millis = 700
	// viewAge is how long a look at the bulk hosts is used.
	viewAge timer.Millis = 30
	// settleTime is how long nothing must have changed for groups to be moved
	// for balance.
	settleTime timer.Millis = 3000
)

// bulkFleet is what a bulk host knows of the others. It is safe for concurrent use.
type bulkFleet struct {
	base *base
	// copies is how many disks must hold what was accepted.
	copies int

	mu      sync.Mutex
	looked  timer.Millis
	started timer.Millis
	leaving bool
	view0   mirrorer.View
	// seen is when a disk's host was last alive, changed when alive last changed.
	seen    map[string]timer.Millis
	changed timer.Millis
}

func newBulkFleet(b *base, losses int) *bulkFleet {
	now := b.clock.Now()
	return &bulkFleet{base: b, copies: losses + 1, started: now, changed: now, seen: make(map[string]timer.Millis)}
}

// leave says that this host is about to stop.
func (f *bulkFleet) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.looked = 0
}

// address is where the host of a disk is reached.
func (f *bulkFleet) address(disk string) (string, bool) {
	m, ok := f.base.follower.Snapshot().MemberWithDisk(disk)
	return m.Peers, ok
}

// view returns what mirrorer.Plan needs to know of the other hosts.
func (f *bulkFleet) view(g cataloger.Group) mirrorer.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.base.clock.Now()
	if now-f.looked > viewAge || f.looked == 0 {
		f.look(now)
	}
	v := f.view0
	v.Silences = make(map[string]timer.Millis, len(g.Holders)+1)
	for _, d := range append([]string{g.Owner}, g.Holders...) {
		v.Silences[d] = now - max(f.seen[d], f.started)
	}
	return v
}

// look finds out which bulk hosts are alive.
func (f *bulkFleet) look(now timer.Millis) {
	s := f.base.follower.Snapshot()
	v := mirrorer.View{Copies: f.copies, Wanted: f.copies + 1, Leaving: make(map[string]bool), Emptied: make(map[string]bool)}
	var alive []cataloger.Member
	for name, m := range s.Members {
		if m.Role != cataloger.Bulk || name == f.base.member.Name || !f.heard(m) {
			continue
		}
		alive = append(alive, m)
	}
	self := f.base.member
	self.Leaving = f.leaving
	alive = append(alive, self)
	slices.SortFunc(alive, func(a, b cataloger.Member) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range alive {
		v.Alive = append(v.Alive, m.Disk)
		f.seen[m.Disk] = now
		v.Emptied[m.Disk] = s.Retiring[m.Name]
		v.Leaving[m.Disk] = m.Leaving || s.Retiring[m.Name]
	}
	if !slices.Equal(v.Alive, f.view0.Alive) {
		f.changed = now
	}
	v.Settled = now-f.changed > settleTime
	f.view0, f.looked = v, now
}

// heard says whether the incarnation that the store knows is heard.
func (f *bulkFleet) heard(m cataloger.Member) bool {
	at, ok := f.base.gossiper.Heard(m.Name)
	if !ok || f.base.clock.Now()-at > bulkSilence {
		return false
	}
	d, ok := f.base.gossiper.Newest(m.Name)
	return ok && d.Incarnation == m.Incarnation
}
