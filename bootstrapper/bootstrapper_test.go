package bootstrapper_test

import (
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/bootstrapper"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { harness.Main(m) }

const workspace = "w"

var (
	limit     = rationer.Limit{Rate: 20, Burst: 20}
	tolerance = rationer.Tolerance{Window: 5 * timer.Second, Share: 0.1, Slack: 20}
)

// fleet runs hosts in one process.
type fleet struct {
	clock timer.Clock
	net   *messenger.Memory
	// hosts holds the addresses of the other hosts that are passed to a new host.
	hosts []string
}

func newFleet(hosts ...string) *fleet {
	return &fleet{clock: timer.System(), net: messenger.NewMemory(), hosts: hosts}
}

// start starts a host and returns its Bootstrapper and its Rationer.
func (f *fleet) start(address string) (*bootstrapper.Bootstrapper, *rationer.Rationer) {
	host := f.net.Host(address, messenger.Peer{Name: address})
	r := rationer.New(f.clock)
	r.Observe(map[string]rationer.Limit{workspace: limit})
	h := bootstrapper.New(bootstrapper.Options{
		Rationer: r, Caller: host, Clock: f.clock, Logger: zap.NewNop(), Tolerance: tolerance,
		Hosts: func() []string { return f.hosts },
	})
	h.Serve(host)
	return h, r
}

// admitted returns the number of requests that r admits now.
func admitted(r *rationer.Rationer) int {
	n := 0
	for r.Admit(workspace, limit).Admitted {
		n++
	}
	return n
}

func TestStartingHostAdmitsOnlyTheRemainingBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		for _, a := range f.hosts {
			f.start(a)
		}
		timer.Sleep(t.Context(), 10*timer.Second)
		began := f.clock.Now()
		h, r := f.start("new")
		h.Run(t.Context())
		require.Less(t, f.clock.Now()-began, timer.Millis(10))
		require.Equal(t, int(0.8*limit.Burst), admitted(r))
	})
}

// The hosts that a new host calls first do not answer.
func TestHostsThatDoNotAnswerAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e", "f")
		for _, a := range []string{"d", "e", "f"} {
			f.start(a)
		}
		timer.Sleep(t.Context(), 10*timer.Second)
		began := f.clock.Now()
		h, r := f.start("new")
		h.Run(t.Context())
		require.Less(t, f.clock.Now()-began, timer.Second)
		require.Equal(t, int(0.8*limit.Burst), admitted(r))
	})
}

func TestHostWithoutOthersStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		began := f.clock.Now()
		h, r := f.start("new")
		r.Admit(workspace, rationer.Limit{Rate: limit.Rate, Burst: 1})
		h.Run(t.Context())
		require.LessOrEqual(t, f.clock.Now()-began, 3*timer.Second)
		require.LessOrEqual(t, admitted(r), 1+int(limit.Rate)*3)
	})
}

// All hosts are killed at once. Their callers are not refused after the restart, and the
// hosts together start with at most half of the tolerance.
func TestColdStartOfTheFleetGrantsAnAdvanceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		var running []*bootstrapper.Bootstrapper
		var first *rationer.Rationer
		for _, a := range f.hosts {
			h, r := f.start(a)
			running, first = append(running, h), r
		}
		for _, h := range running {
			h.Run(t.Context())
		}
		spent := admitted(first)
		require.GreaterOrEqual(t, spent, 10)
		require.LessOrEqual(t, spent, 16)
		for _, a := range f.hosts {
			if a != "d" {
				f.net.Remove(a)
			}
		}
		f.hosts = []string{"d"}
		h, r := f.start("late")
		h.Run(t.Context())
		require.LessOrEqual(t, admitted(r), int(limit.Rate*3), "more than what was refilled since was admitted")
	})
}
