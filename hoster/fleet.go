package hoster

import (
	"slices"
	"strings"
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// bulkTimeout is the time without a digest after which a bulk host counts as
	// down.
	bulkTimeout timer.Millis = 700
	// viewTTL is how long a view of the bulk hosts is reused.
	viewTTL timer.Millis = 30
	// settleTime is how long the set of bulk hosts that are up must be unchanged
	// before groups are moved for balance.
	settleTime timer.Millis = 3000
)

// bulkFleet tracks the state of the other bulk hosts as seen by one bulk host. It is
// safe for concurrent use.
type bulkFleet struct {
	base *base
	// minHolders is how many disks must hold an entry for it to be accepted.
	minHolders int

	mu          sync.Mutex
	refreshedAt timer.Millis
	leaving     bool
	current     mirrorer.View
	silence     *mirrorer.Silence
	// changed is when the set of hosts that are up last changed.
	changed timer.Millis
}

func newBulkFleet(b *base, losses int) *bulkFleet {
	now := b.clock.Now()
	return &bulkFleet{base: b, minHolders: losses + 1, silence: mirrorer.NewSilence(now, bulkTimeout), changed: now}
}

// leave marks this host as about to stop.
func (f *bulkFleet) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.refreshedAt = 0
}

// address returns the address of the host that has a disk.
func (f *bulkFleet) address(disk string) (string, bool) {
	m, ok := f.base.follower.Snapshot().MemberWithDisk(disk)
	return m.PeerAddress, ok
}

// holderCondition returns a condition that is false once the host of a disk has been
// reported as emptied.
func (f *bulkFleet) holderCondition(disk string) (storer.Condition, bool) {
	s := f.base.follower.Snapshot()
	m, ok := s.MemberWithDisk(disk)
	if !ok {
		return storer.Condition{}, false
	}
	return storer.Condition{Key: f.base.platform.RetireStatusKey(m.Name), Revision: storer.Revision(s.RetireStatus[m.Name].Revision)}, true
}

// view returns the state of the hosts that mirrorer.Plan requires for a group.
func (f *bulkFleet) view(g cataloger.Group) mirrorer.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.base.clock.Now()
	if now-f.refreshedAt > viewTTL || f.refreshedAt == 0 {
		f.refresh(now)
	}
	v := f.current
	v.SilentFor = make(map[string]timer.Millis, len(g.Holders)+1)
	for _, d := range append([]string{g.Owner}, g.Holders...) {
		v.SilentFor[d] = f.silence.For(d, now)
	}
	return v
}

// refresh recomputes which bulk hosts are up.
func (f *bulkFleet) refresh(now timer.Millis) {
	s := f.base.follower.Snapshot()
	v := mirrorer.View{
		MinHolders: f.minHolders, WantedHolders: f.minHolders + 1,
		Leaving: make(map[string]bool), Retiring: make(map[string]bool), Emptied: make(map[string]bool),
	}
	var up []cataloger.Member
	for name, m := range s.Members {
		if m.Role != cataloger.Bulk || name == f.base.member.Name || !f.isUp(m) {
			continue
		}
		up = append(up, m)
	}
	self := f.base.member
	self.Leaving = f.leaving
	up = append(up, self)
	slices.SortFunc(up, func(a, b cataloger.Member) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range up {
		v.Reachable = append(v.Reachable, m.Disk)
		f.silence.SetUp(m.Disk, now)
		v.Leaving[m.Disk], v.Retiring[m.Disk], v.Emptied[m.Disk] = m.Leaving, s.Retiring[m.Name], s.RetireStatus[m.Name].Empty
	}
	if !slices.Equal(v.Reachable, f.current.Reachable) {
		f.changed = now
	}
	v.Stable = now-f.changed > settleTime
	f.current, f.refreshedAt = v, now
}

// isUp reports whether a digest of a host was received within bulkTimeout, of the
// incarnation that is in the store.
func (f *bulkFleet) isUp(m cataloger.Member) bool {
	at, ok := f.base.gossiper.LastReceived(m.Name)
	if !ok || f.base.clock.Now()-at > bulkTimeout {
		return false
	}
	d, ok := f.base.gossiper.Newest(m.Name)
	return ok && d.Incarnation == m.Incarnation
}
