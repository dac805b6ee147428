package limiter_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// load describes the requests that one workspace's callers send.
type load struct {
	workspace registrar.Workspace
	// perSecond is the mean rate of Poisson arrivals; in addition, burstSize
	// requests arrive at once every burstEvery.
	perSecond  float64
	burstSize  int
	burstEvery time.Duration
	// sticky is the fraction of requests that always go to the same host.
	sticky float64
}

func workspace(name string, rate float64, burst int64) registrar.Workspace {
	return registrar.Workspace{Name: name, RatePerSecond: rate, Burst: burst, Weight: 1}
}

// loads returns eight workspaces: three large ones, one of which sends five times
// its rate, and five small ones, some of which send in bursts or to one host.
func loads() []load {
	return []load{
		{workspace: workspace("large-1", 100, 200), perSecond: 80, sticky: 0.7},
		{workspace: workspace("large-2", 100, 100), perSecond: 70},
		{workspace: workspace("greedy", 60, 60), perSecond: 300},
		{workspace: workspace("burst-1", 5, 20), burstSize: 16, burstEvery: 4 * time.Second},
		{workspace: workspace("burst-2", 10, 40), burstSize: 30, burstEvery: 4 * time.Second, sticky: 1},
		{workspace: workspace("small-1", 5, 10), perSecond: 2, sticky: 1},
		{workspace: workspace("small-2", 5, 10), perSecond: 2},
		{workspace: workspace("small-3", 2, 5), perSecond: 0.5},
	}
}

type arrival struct {
	at     time.Duration
	load   int
	sticky bool
}

func arrivals(ls []load, seed uint64, length time.Duration) []arrival {
	var out []arrival
	random := rand.New(rand.NewPCG(seed, 2))
	for i, l := range ls {
		for at := time.Duration(0); l.perSecond > 0; {
			at += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second))
			if at >= length {
				break
			}
			out = append(out, arrival{at: at, load: i, sticky: random.Float64() < l.sticky})
		}
		for at := l.burstEvery; l.burstEvery > 0 && at < length; at += l.burstEvery {
			for range l.burstSize {
				out = append(out, arrival{at: at, load: i, sticky: random.Float64() < l.sticky})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// referenceCounts counts what a single central bucket, reached without messages,
// would have admitted and refused.
func referenceCounts(as []arrival, i int, w registrar.Workspace) (admitted, refused int) {
	level, last := float64(w.Burst), time.Duration(0)
	for _, a := range as {
		if a.load != i {
			continue
		}
		level = min(float64(w.Burst), level+w.RatePerSecond*(a.at-last).Seconds())
		last = a.at
		if level >= 1 {
			level--
			admitted++
			continue
		}
		refused++
	}
	return admitted, refused
}

// result is one row of the comparison.
type result struct {
	requests int
	// within, refused and unknown count requests of workspaces within their
	// limit: those that the reference admits, and those decided as Refused and
	// Unknown.
	within, refused, unknown int
	// greedyExact and greedyAdmitted count the admissions of workspaces above
	// their limit: by the reference and by the scheme.
	greedyExact, greedyAdmitted int
	over                        int
	perSecond                   float64
	p50, p99                    time.Duration
}

const compareLength = 60 * time.Second

// runScheme replays the loads on nine hosts. With faults, the host that owns the
// largest workspace's limit is lost at 20 s, one joins at 35 s, and one leaves in
// a planned stop at 45 s.
func runScheme(t *testing.T, scheme limiter.Scheme, seed uint64, delay time.Duration, faults bool) result {
	var out result
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, scheme, seed, delay)
		ls := loads()
		var ws []registrar.Workspace
		for _, l := range ls {
			ws = append(ws, l.workspace)
		}
		f.start(9, exactClock, ws...)
		if faults {
			f.running.Go(func() {
				time.Sleep(20 * time.Second)
				f.kill(f.owner("large-1"))
				time.Sleep(15 * time.Second)
				f.join(9, 1)
				time.Sleep(10 * time.Second)
				f.leave(f.owner("large-2"))
			})
		}
		out = replay(f, ls, arrivals(ls, seed, compareLength))
		f.close()
		for _, l := range ls {
			limit := limiter.LimitOf(l.workspace)
			if limiter.CheckHistory(f.history[l.workspace.Name], limit, 1) != nil {
				out.over++
			}
		}
	})
	return out
}

func replay(f *fleet, ls []load, as []arrival) result {
	var mu sync.Mutex
	var latencies []time.Duration
	notAdmitted := make([]map[string]int, len(ls))
	admitted := make([]int, len(ls))
	begun, messages := time.Now(), f.messages.Load()
	var requests sync.WaitGroup
	for _, a := range as {
		time.Sleep(a.at - time.Since(begun))
		h := f.choose(a)
		requests.Go(func() {
			at := time.Now()
			d := h.limiter.Admit(context.Background(), ls[a.load].workspace.Name)
			mu.Lock()
			defer mu.Unlock()
			if _, ok := d.(limiter.Admitted); ok {
				admitted[a.load]++
				latencies = append(latencies, time.Since(at))
				return
			}
			if notAdmitted[a.load] == nil {
				notAdmitted[a.load] = make(map[string]int)
			}
			notAdmitted[a.load][fmt.Sprintf("%T", d)]++
		})
	}
	requests.Wait()
	out := result{requests: len(as)}
	out.perSecond = float64(f.messages.Load()-messages) / time.Since(begun).Seconds()
	for i, l := range ls {
		want, refused := referenceCounts(as, i, l.workspace)
		if refused > 0 {
			out.greedyExact += want
			out.greedyAdmitted += admitted[i]
			continue
		}
		out.within += want
		out.refused += notAdmitted[i]["limiter.Refused"]
		out.unknown += notAdmitted[i]["limiter.Unknown"]
	}
	slices.Sort(latencies)
	out.p50 = latencies[len(latencies)/2]
	out.p99 = latencies[len(latencies)*99/100]
	return out
}

// choose returns the host to which a request goes.
func (f *fleet) choose(a arrival) *host {
	running := f.hostsUp()
	if a.sticky {
		return running[a.load%len(running)]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return running[f.random.IntN(len(running))]
}

var table = flag.Bool("table", false, "print the comparison of all schemes at both delays")

var allSchemes = []limiter.Scheme{limiter.EqualSplit, limiter.TokenOnly, limiter.LeaseOnly, limiter.Chosen}

// TestChosenRefusesLeast checks at one delay that Chosen refuses fewer requests
// and sends fewer messages than TokenOnly. TestCompareSchemes with -table prints
// the complete comparison.
func TestChosenRefusesLeast(t *testing.T) {
	rows := make(map[limiter.Scheme]result)
	for _, scheme := range []limiter.Scheme{limiter.TokenOnly, limiter.Chosen} {
		rows[scheme] = runScheme(t, scheme, 1, 500*time.Microsecond, true)
		require.Zero(t, rows[scheme].over, "%s admitted more than the limit", scheme)
	}
	tokenOnly, chosen := rows[limiter.TokenOnly], rows[limiter.Chosen]
	require.Less(t, chosen.refused+chosen.unknown, tokenOnly.refused+tokenOnly.unknown)
	require.Less(t, chosen.perSecond, tokenOnly.perSecond)
	steady := runScheme(t, limiter.Chosen, 1, 500*time.Microsecond, false)
	require.LessOrEqual(t, steady.refused+steady.unknown, steady.within/1000)
}

func TestCompareSchemes(t *testing.T) {
	if !*table {
		return
	}
	t.Log("| one-way ms | hosts | scheme | within the limit | refused | unknown | share of the greedy one | over | messages/s | p50 ms | p99 ms |")
	for _, delay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		for _, faults := range []bool{false, true} {
			for _, scheme := range allSchemes {
				t.Log(row(runScheme(t, scheme, 1, delay, faults), scheme, delay, faults))
			}
		}
	}
}

func row(r result, scheme limiter.Scheme, delay time.Duration, faults bool) string {
	hosts := "steady"
	if faults {
		hosts = "lost, added"
	}
	share := 100 * float64(r.greedyAdmitted) / float64(r.greedyExact)
	return fmt.Sprintf("| %.1f | %s | %s | %d | %d | %d | %.1f%% | %d | %.0f | %.2f | %.2f |",
		delay.Seconds()*1e3, hosts, scheme, r.within, r.refused, r.unknown, share,
		r.over, r.perSecond, r.p50.Seconds()*1e3, r.p99.Seconds()*1e3)
}
