package retirer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/retirer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	groups     = 12
	statusKey  = "status/h"
	requestKey = "retire/h"
	disk       = "d"
	empty      = "empty"
	holding    = "holding"
	// reportBound is the time within which the status follows the manifests and requests.
	reportBound = 3 * timer.Second
	lateBound   = 6 * timer.Second
)

// self is the host of these tests. Groups are held by "other" and "third" in place of it.
var self = retirer.Self{Host: "h", Disk: disk, MinHolders: 2}

func groupKey(n int) string { return fmt.Sprint("groups/", n) }

// decoder decodes manifests, whose values are their holders, the request and status of h, and
// the entries of hosts, whose disks have their names.
type decoder struct{}

func (decoder) Kind(key string) follower.Fact {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "groups":
		n, _ := strconv.Atoi(name)
		return follower.GroupFact{Number: n}
	case "retire":
		return follower.RetireFact{Host: name}
	case "hosts":
		return follower.MemberFact{Member: cataloger.Member{Name: name, Role: cataloger.Bulk, Disk: name}}
	}
	return follower.RetireStatusFact{Host: name}
}

func (d decoder) Decode(i storer.Item) (follower.Fact, error) {
	switch t := d.Kind(i.Key).(type) {
	case follower.GroupFact:
		holders := strings.Fields(string(i.Value))
		t.Group = cataloger.Group{Owner: holders[0], Holders: holders, Revision: uint64(i.Revision)}
		return t, nil
	case follower.RetireStatusFact:
		t.Status = cataloger.RetireStatus{Empty: string(i.Value) == empty, Revision: uint64(i.Revision)}
		return t, nil
	default:
		return t, nil
	}
}

// fixture is the store and host h.
type fixture struct {
	t        *testing.T
	memory   *storer.MemoryLedger
	follower *follower.Follower
	retirer  *retirer.Retirer
}

// start starts the host; through is the store as the host reaches it.
func start(t *testing.T, memory *storer.MemoryLedger, through storer.Ledger) *fixture {
	x := &fixture{t: t, memory: memory}
	x.set("hosts/other", "")
	x.set("hosts/third", "")
	x.follower = follower.New(follower.Options{Ledger: memory, Decoder: decoder{}, Clock: timer.System(), Logger: zap.NewNop()})
	x.retirer = retirer.New(retirer.Options{
		Self: self, Groups: groups, Ledger: through, StatusKey: statusKey, GroupKey: groupKey,
		EncodeStatus: func(e bool) []byte {
			if e {
				return []byte(empty)
			}
			return []byte(holding)
		},
		Snapshot: x.follower.Snapshot, Logger: zap.NewNop(),
	})
	return x
}

func (x *fixture) close() {
	x.retirer.Close()
	x.follower.Close()
}

func pass(m timer.Millis) { timer.Sleep(context.Background(), m) }

func (x *fixture) set(key, value string) {
	x.t.Helper()
	_, err := x.memory.Commit(context.Background(), storer.Transaction{Set: []storer.Item{{Key: key, Value: []byte(value)}}})
	require.NoError(x.t, err)
}

func (x *fixture) remove(key string) {
	x.t.Helper()
	_, err := x.memory.Commit(context.Background(), storer.Transaction{Delete: []string{key}})
	require.NoError(x.t, err)
}

// value returns the value of a key, or "" if there is none.
func (x *fixture) value(key string) string {
	x.t.Helper()
	items, _, err := x.memory.Range(context.Background(), key)
	require.NoError(x.t, err)
	if len(items) == 0 {
		return ""
	}
	return string(items[0].Value)
}

func TestStatusFollowsRequestsAndManifests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storer.NewMemoryLedger(timer.System())
		x := start(t, m, m)
		defer x.close()
		x.set(groupKey(3), disk+" other")
		pass(reportBound)
		require.Empty(t, x.value(statusKey), "no status without a request")
		x.set(requestKey, "")
		pass(reportBound)
		require.Equal(t, holding, x.value(statusKey))
		x.set(groupKey(3), "other third")
		pass(reportBound)
		require.Equal(t, empty, x.value(statusKey))
		x.remove(requestKey)
		pass(reportBound)
		require.Empty(t, x.value(statusKey), "a later request must not find that the host is empty")
	})
}

// A host that starts again finds its status in the store, and does not write it again.
func TestStatusIsNotWrittenAgainAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storer.NewMemoryLedger(timer.System())
		x := start(t, m, m)
		x.set(requestKey, "")
		pass(reportBound)
		x.close()
		items, _, err := m.Range(t.Context(), statusKey)
		require.NoError(t, err)
		x = start(t, m, m)
		defer x.close()
		pass(reportBound)
		again, _, err := m.Range(t.Context(), statusKey)
		require.NoError(t, err)
		require.Equal(t, items, again)
	})
}

// lateBy is how late the write of startLate is carried out.
const lateBy = 4 * timer.Second

// startLate starts the host and requests that it be emptied. It returns once the host has
// written that it is empty, a write that is not answered and is late.
func startLate(t *testing.T) *fixture {
	m := storer.NewMemoryLedger(timer.System())
	var sent atomic.Bool
	x := start(t, m, storer.NewLateLedger(m, func(storer.Write) (timer.Millis, bool) { return lateBy, sent.CompareAndSwap(false, true) }))
	pass(reportBound)
	x.set(requestKey, "")
	for !sent.Load() {
		pass(10)
	}
	return x
}

// requireStatus requires that the store has this status from now on.
func (x *fixture) requireStatus(status string, length timer.Millis) {
	x.t.Helper()
	for range length / 50 {
		require.Equal(x.t, status, x.value(statusKey))
		pass(50)
	}
}

// The write that says that a host is empty is carried out when the host holds data again and
// has said so. The operators would remove its disk with the data.
func TestLateReportThatAHostIsEmptyDoesNotReplaceALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := startLate(t)
		defer x.close()
		x.set(groupKey(5), disk+" other")
		pass(reportBound)
		x.requireStatus(holding, 2*lateBy)
	})
}

// As above, but the host has not said anything since: the request was withdrawn.
func TestLateReportThatAHostIsEmptyIsRefusedOnceItHoldsData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := startLate(t)
		defer x.close()
		x.remove(requestKey)
		x.set(groupKey(5), disk+" other")
		x.requireStatus("", 2*lateBy)
	})
}

// Requests, withdrawals and manifests change while one write in three is late. No status
// says that the host is empty at a revision at which a manifest names its disk, and in the
// end the status is right.
func TestStatusIsTrueWhenItIsWritten(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, calm := rand.New(rand.NewPCG(seed, 5)), false
				var mu sync.Mutex
				m := storer.NewMemoryLedger(timer.System())
				late := storer.NewLateLedger(m, func(storer.Write) (timer.Millis, bool) {
					mu.Lock()
					defer mu.Unlock()
					return timer.Millis(r.Int64N(int64(lateBound))), !calm && r.IntN(3) == 0
				})
				x := start(t, m, late)
				defer func() { x.close() }()
				for range 30 {
					mu.Lock()
					kind, group, wait := r.IntN(6), r.IntN(2), timer.Millis(r.IntN(1500))
					mu.Unlock()
					switch kind {
					case 0:
						x.set(requestKey, "")
					case 1:
						x.remove(requestKey)
					case 2:
						x.set(groupKey(group), disk+" other")
					case 3, 4:
						x.set(groupKey(group), "other third")
					case 5:
						x.close()
						x = start(t, m, late)
					}
					pass(wait)
				}
				mu.Lock()
				calm = true
				mu.Unlock()
				late.Wait()
				pass(reportBound)
				requireTrueReports(t, m)
				require.Equal(t, retirer.Keep, retirer.Plan(x.follower.Snapshot(), self))
			})
		})
	}
}

// requireTrueReports replays the history of the store.
func requireTrueReports(t *testing.T, m *storer.MemoryLedger) {
	t.Helper()
	c, err := m.Watch(t.Context(), "", 0, 0)
	require.NoError(t, err)
	named := make(map[string]bool)
	for _, v := range c.List {
		switch {
		case strings.HasPrefix(v.Key, "groups/"):
			named[v.Key] = strings.HasPrefix(string(v.Value), disk+" ")
		case v.Key == statusKey && string(v.Value) == empty:
			for key, n := range named {
				require.False(t, n, "the host was reported as empty at revision %d although %s named its disk", v.Revision, key)
			}
		}
	}
}

// A host that was to be removed lost its disk and came back with an empty one. It reported
// that it was empty, and would have been removed, with one other disk left.
func TestHostThatIsNeededIsNotReportedAsEmpty(t *testing.T) {
	member := func(name string) cataloger.Member {
		return cataloger.Member{Name: name, Role: cataloger.Bulk, Disk: name}
	}
	base := cataloger.Snapshot{}.WithRetiring("h", true).WithMember(cataloger.Member{Name: "h", Role: cataloger.Bulk, Disk: disk})
	group := func(holders ...string) cataloger.Group {
		return cataloger.Group{Owner: holders[0], Holders: holders, Revision: 5}
	}
	for name, c := range map[string]struct {
		s    cataloger.Snapshot
		step retirer.Step
	}{
		"one other disk":                {base.WithMember(member("a")).WithGroup(0, group("a", "lost")), retirer.ReportHolding},
		"one other disk, no group":      {base.WithMember(member("a")), retirer.ReportHolding},
		"two other disks":               {base.WithMember(member("a")).WithMember(member("b")).WithGroup(0, group("a", "b")), retirer.ReportEmpty},
		"two other disks, no group":     {base.WithMember(member("a")).WithMember(member("b")), retirer.ReportEmpty},
		"two others, one does not hold": {base.WithMember(member("a")).WithMember(member("b")).WithGroup(0, group("a", "lost")), retirer.ReportHolding},
		"one of the others may be removed at any moment": {
			base.WithMember(member("a")).WithMember(member("b")).WithRetireStatus("b", cataloger.RetireStatus{Empty: true, Revision: 3}).WithGroup(0, group("a", "lost")), retirer.ReportHolding,
		},
		"one of two others may be removed at any moment, no group": {
			base.WithMember(member("a")).WithMember(member("b")).WithRetireStatus("b", cataloger.RetireStatus{Empty: true, Revision: 3}), retirer.ReportHolding,
		},
		"owner of a group that others hold": {
			base.WithMember(member("a")).WithMember(member("b")).WithGroup(0, cataloger.Group{Owner: disk, Holders: []string{"a", "b"}, Revision: 5}), retirer.ReportHolding,
		},
		"needed again after it was reported as empty": {
			base.WithMember(member("a")).WithRetireStatus("h", cataloger.RetireStatus{Empty: true, Revision: 3}).WithGroup(0, group("a", "lost")), retirer.ReportHolding,
		},
		"an entry host has no disk": {
			base.WithMember(member("a")).WithMember(cataloger.Member{Name: "e", Role: cataloger.Entry}), retirer.ReportHolding,
		},
	} {
		require.Equal(t, c.step, retirer.Plan(c.s, self), name)
	}
}
