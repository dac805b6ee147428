package rationer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const server = "server"

// lane simulates hosts that share the limit of one server.
type lane struct {
	clock  *harness.Clock
	random *rand.Rand
	limit  rationer.Limit
	hosts  []*laneHost
	// maxDelay bounds how long a report takes, loss is the share of reports that are lost.
	maxDelay timer.Millis
	loss     float64
	// side is the part of the fleet that a host is in; hosts of one part hear one another.
	side func(host int) int
	sent []timer.Millis
	// wire holds the reports in transit, by time of arrival.
	wire map[timer.Millis][]laneReport
}

type laneHost struct {
	*rationer.Rationer
	name        string
	incarnation int
	down        bool
	heard       []timer.Millis
}

type laneReport struct {
	from, to, incarnation int
	usage                 rationer.Usage
}

func serverLimit(rate float64) rationer.Limit {
	return rationer.Limit{Rate: rate, Burst: max(2, 1+rate/4), Turns: true}
}

func newLane(seed uint64, hosts int, rate float64, maxDelay timer.Millis) *lane {
	l := &lane{
		clock: &harness.Clock{Time: 100000}, random: rand.New(rand.NewPCG(seed, 7)), limit: serverLimit(rate), maxDelay: maxDelay,
		side: func(int) int { return 0 }, wire: make(map[timer.Millis][]laneReport),
	}
	for i := range hosts {
		l.hosts = append(l.hosts, &laneHost{name: fmt.Sprintf("h%03d", i)})
	}
	for i := range l.hosts {
		l.start(i)
		for j := range l.hosts {
			l.hosts[i].heard[j] = l.clock.Time
		}
		l.setPeers(i)
	}
	return l
}

// start starts a host, which knows the limit and nothing else.
func (l *lane) start(i int) {
	h := l.hosts[i]
	h.Rationer, h.down, h.heard = rationer.New(l.clock), false, make([]timer.Millis, len(l.hosts))
	h.incarnation++
	h.Peek(rationer.Claim{Key: server, Limit: l.limit})
	l.setPeers(i)
}

func (l *lane) setPeers(i int) {
	var peers []rationer.Peer
	order := []string{l.hosts[i].name}
	for j, o := range l.hosts {
		if j == i {
			continue
		}
		at := l.hosts[i].heard[j]
		peers = append(peers, rationer.Peer{Name: o.name, LastReceived: at})
		if at != 0 && l.clock.Time-at <= 800 {
			order = append(order, o.name)
		}
	}
	l.hosts[i].SetPeers(peers)
	l.hosts[i].SetOrder(rationer.NewOrder(l.hosts[i].name, order))
}

// tick advances the clock by 10 ms. Each host reports every 50 ms.
func (l *lane) tick() {
	l.clock.Time += 10
	now := l.clock.Time
	for _, r := range l.wire[now] {
		if !l.hosts[r.to].down {
			l.hosts[r.to].MergeUsage(l.hosts[r.from].name, strconv.Itoa(r.incarnation), server, r.usage)
		}
	}
	delete(l.wire, now)
	for i, h := range l.hosts {
		if h.down {
			continue
		}
		if (int(now)/10+i)%5 == 0 {
			l.report(i)
		}
		if (int(now)/10+i)%20 == 0 {
			l.setPeers(i)
		}
	}
}

func (l *lane) report(from int) {
	h := l.hosts[from]
	u, used := h.Usage(server)
	for to := range l.hosts {
		if to == from || l.side(to) != l.side(from) || l.hosts[to].down || l.random.Float64() < l.loss {
			continue
		}
		l.hosts[to].heard[from] = l.clock.Time
		if !used {
			continue
		}
		at := l.clock.Time + 10*(1+timer.Millis(l.random.IntN(int(l.maxDelay/10))))
		l.wire[at] = append(l.wire[at], laneReport{from: from, to: to, incarnation: h.incarnation, usage: u})
	}
}

// send tries to send a request from a host.
func (l *lane) send(host int, c rationer.Claim) bool {
	c.Key, c.Limit = server, l.limit
	if l.hosts[host].down || !l.hosts[host].Take(c).Admitted {
		return false
	}
	l.sent = append(l.sent, l.clock.Time)
	return true
}

// most returns the highest number of requests within four seconds.
func (l *lane) most() int {
	best, from := 0, 0
	for i, at := range l.sent {
		for l.sent[from] <= at-4*timer.Second {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

// bound returns how many requests may be sent in four seconds: what the limit gives, what
// may be saved up, and what hosts may send before they hear of one another. It is below
// the users' bound, which is one and a half times the limit and 5 requests.
func bound(l rationer.Limit) int {
	turn := math.Ceil(l.Rate / 2)
	return int(4*l.Rate + max(l.Burst, 3*turn) + turn)
}

func usersBound(l rationer.Limit) int { return int(1.5*4*l.Rate) + 5 }

// Each of many hosts saw the same token at the same time. 70 hosts that only counted sent
// 57 requests in four seconds to a server that takes 12.
func TestManyHostsTogetherKeepTheLimitOfAServer(t *testing.T) {
	for _, hosts := range []int{12, 95} {
		for _, rate := range []float64{0.2, 1, 3, 20} {
			t.Run(fmt.Sprint(hosts, " hosts at ", rate), func(t *testing.T) {
				l := newLane(1, hosts, rate, 150)
				const ticks = 1500
				for range ticks {
					l.tick()
					for range 4 {
						l.send(l.random.IntN(hosts), rationer.Claim{})
					}
				}
				require.LessOrEqual(t, l.most(), bound(l.limit))
				require.LessOrEqual(t, bound(l.limit), usersBound(l.limit))
				require.GreaterOrEqual(t, float64(len(l.sent)), math.Floor(0.85*rate*ticks/100), "the limit is not used")
			})
		}
	}
}

// Nothing is sent for a while, and then every host has a request at the same moment.
func TestBurstAfterAPauseKeepsTheLimitOfAServer(t *testing.T) {
	for _, rate := range []float64{0.2, 3, 20} {
		for seed := range uint64(2) {
			l := newLane(seed, 95, rate, 150)
			for range 1500 + l.random.IntN(500) {
				l.tick()
			}
			for range 150 {
				for i := range l.hosts {
					l.send(i, rationer.Claim{})
				}
				l.tick()
			}
			require.LessOrEqual(t, l.most(), bound(l.limit), "limit %g, seed %d", rate, seed)
			require.NotEmpty(t, l.sent)
		}
	}
}

// Whatever the split of calls over hosts, the delay and loss of reports, and whichever
// hosts stop and start, the users' bound holds.
func TestLimitOfAServerHoldsWithLateAndLostReportsAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{2, 12, 24}).Draw(t, "hosts")
		rate := rapid.SampledFrom([]float64{0.1, 0.2, 0.7, 2, 5, 12}).Draw(t, "rate")
		l := newLane(rapid.Uint64().Draw(t, "seed"), hosts, rate, timer.Millis(rapid.IntRange(2, 25).Draw(t, "delay")*10))
		l.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		callers := rapid.IntRange(1, hosts).Draw(t, "hosts with callers")
		perTick := rapid.IntRange(1, 6).Draw(t, "calls in 10 ms")
		restarts := rapid.IntRange(0, 3).Draw(t, "restarts")
		for i := range 800 {
			l.tick()
			if restarts > 0 && i%(800/restarts) == 400/restarts {
				h := l.random.IntN(hosts)
				l.hosts[h].down = true
			}
			if restarts > 0 && i%(800/restarts) == 400/restarts+40 {
				for h := range l.hosts {
					if l.hosts[h].down {
						l.start(h)
					}
				}
			}
			for range perTick {
				l.send(l.random.IntN(callers), rationer.Claim{})
			}
		}
		if n := l.most(); n > usersBound(l.limit) {
			t.Fatalf("%d requests in four seconds at a limit of %g", n, rate)
		}
	})
}

// A fleet is split in two. Each part keeps to its share, and both together to the limit
// but for the time in which neither knows of the split.
func TestBothPartsOfASplitFleetKeepTheLimitOfAServer(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 3, 12} {
		for seed := range uint64(4) {
			const hosts = 24
			l := newLane(seed, hosts, rate, 60)
			border := 1 + int(seed)*hosts/5
			parts := [2]int{}
			for i := range 3000 {
				l.tick()
				switch i {
				case 800:
					l.side = func(host int) int { return min(1, host/border) }
				case 2200:
					l.side = func(int) int { return 0 }
				}
				for range 3 {
					h := l.random.IntN(hosts)
					if l.send(h, rationer.Claim{}) && i >= 1200 && i < 2200 {
						parts[min(1, h/border)]++
					}
				}
			}
			require.LessOrEqual(t, l.most(), bound(l.limit)+int(math.Ceil(rate))+2, "limit %g, seed %d", rate, seed)
			if rate >= 3 {
				share := rate * float64(border) / hosts
				require.InDelta(t, 10*share, parts[0], 2+3*share, "limit %g, seed %d", rate, seed)
				require.Positive(t, parts[1])
			}
		}
	}
}

// Every host is cut off from all others, but not from the server. Their shares add up to
// the limit; each may save up one request.
func TestHostsThatHearNobodyKeepTheirSharesOfALimit(t *testing.T) {
	l := newLane(3, 12, 3, 60)
	for range 500 {
		l.tick()
		l.send(l.random.IntN(12), rationer.Claim{})
	}
	l.side = func(host int) int { return host }
	for range 200 {
		l.tick()
		l.send(l.random.IntN(12), rationer.Claim{})
	}
	l.sent = nil
	for range 4000 {
		l.tick()
		l.send(l.random.IntN(12), rationer.Claim{})
	}
	require.LessOrEqual(t, len(l.sent), 3*40+12)
	require.GreaterOrEqual(t, len(l.sent), 3*40*8/10, "cut off hosts use their shares")
}

// Every host is cut off from all others at the same moment, and has callers. Until they
// noticed, each of them used the whole limit, and then its share as if it had not: 386
// requests in 20 s reached a server that takes 240, with 24 hosts.
func TestHostsThatAreCutOffPayBackWhatTheyTookUntilTheyNoticed(t *testing.T) {
	const seconds = 20
	for _, hosts := range []int{2, 6, 12, 24} {
		for _, rate := range []float64{0.4, 1, 3, 12} {
			for seed := range uint64(3) {
				l := newLane(seed, hosts, rate, 60)
				for i := range 1000 + 100*seconds {
					if i == 1000 {
						l.sent = nil
						l.side = func(host int) int { return host }
					}
					l.tick()
					for h := range hosts {
						l.send(h, rationer.Claim{})
					}
				}
				savedUp := bound(l.limit) - int(4*rate)
				require.LessOrEqual(t, len(l.sent), int(seconds*rate)+savedUp, "%d hosts, limit %g, seed %d", hosts, rate, seed)
			}
		}
	}
}

// Tokens that were returned counted as taken, so hosts that were cut off paid for requests
// that no server got.
func TestReturnedTokensAreNotPaidBack(t *testing.T) {
	const hosts, cut = 4, 1000
	for _, keptFor := range []int{0, 1, 5, 20} {
		l := newLane(1, hosts, 12, 60)
		returned := make(map[int]int)
		for i := range cut + 200 {
			if i == cut {
				l.side = func(host int) int { return host }
			}
			l.tick()
			if l.send(0, rationer.Claim{}) {
				returned[i+keptFor]++
			}
			for range returned[i] {
				l.hosts[0].Refund(server)
			}
			if i < cut {
				continue
			}
			for _, h := range l.hosts {
				d := h.Peek(rationer.Claim{Key: server, Limit: l.limit})
				require.GreaterOrEqual(t, d.Level, 0.0, "%s, kept for %d ticks", h.name, keptFor)
			}
		}
	}
}

// The same for tokens that another host reports as taken and then as returned, while a third
// host is cut off. At most one token is out at a time.
func TestReturnedTokensOfOtherHostsAreNotPaidBack(t *testing.T) {
	c := &harness.Clock{Time: 100000}
	h, l := rationer.New(c), serverLimit(8)
	h.Peek(rationer.Claim{Key: server, Limit: l})
	cut := c.Time + 5*timer.Second
	for i := range 160 {
		c.Time += 50
		h.SetPeers([]rationer.Peer{{Name: "a", LastReceived: c.Time}, {Name: "b", LastReceived: min(c.Time, cut)}})
		d := h.Peek(rationer.Claim{Key: server, Limit: l})
		h.MergeUsage("a", "1", server, rationer.Usage{Taken: uint64(7 + i%2), Recent: 1, Level: d.Level})
		if c.Time > cut {
			require.GreaterOrEqual(t, d.Level, d.Capacity-1, "report %d", i)
		}
	}
}

// Less urgent requests get what the more urgent ones leave, and all of it if there are none.
func TestUrgentRequestsGoFirstWhenALimitIsShort(t *testing.T) {
	l := newLane(5, 12, 3, 60)
	urgent, other := 0, 0
	for i := range 6000 {
		l.tick()
		if i < 3000 && l.send(l.random.IntN(12), rationer.Claim{}) {
			urgent++
		}
		if l.send(l.random.IntN(12), rationer.Claim{Reserve: 1, AnyTurn: true}) {
			other++
		}
		if i == 2999 {
			require.LessOrEqual(t, other*10, urgent, "urgent requests take nearly all")
			other = 0
		}
	}
	require.GreaterOrEqual(t, other, 80, "others take all that is left")
}

// All hosts with callers start again while a host with batch items goes on. Their buckets
// were empty and never filled, as the other host took each token when its own was full.
func TestStartedHostsTakePartInALimitThatIsUsedUp(t *testing.T) {
	l := newLane(8, 8, 1, 60)
	online := 0
	for i := range 3000 {
		l.tick()
		switch {
		case i < 1000:
		case i == 1000:
			for h := 1; h < len(l.hosts); h++ {
				l.hosts[h].down = true
			}
		case i == 1050:
			for h := 1; h < len(l.hosts); h++ {
				l.start(h)
			}
		case i > 1200 && l.send(1+l.random.IntN(7), rationer.Claim{}):
			online++
		}
		l.send(0, rationer.Claim{Reserve: 1, AnyTurn: true})
	}
	require.GreaterOrEqual(t, online, 12, "18 requests are allowed")
}

// A host has few callers. A token is not lost because it is that host's turn.
func TestTurnOfAHostWithoutCallersPasses(t *testing.T) {
	l := newLane(6, 70, 1, 150)
	for range 6000 {
		l.tick()
		l.send(l.random.IntN(7), rationer.Claim{})
	}
	require.GreaterOrEqual(t, len(l.sent), 25, "a tenth of the hosts have callers, 60 requests are allowed")
}

func TestRefusedClaimTellsWhenItIsGranted(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	h.SetOrder(rationer.Order{Index: 3, Hosts: 12})
	claim := rationer.Claim{Key: server, Limit: serverLimit(0.5)}
	for range 5 {
		d := h.Take(claim)
		for d.Admitted {
			d = h.Take(claim)
		}
		require.Positive(t, d.RetryAfter)
		c.Time += d.RetryAfter
		require.True(t, h.Take(claim).Admitted)
	}
}

// A request that is sent in advance is paid back.
func TestAdvanceIsPaidBack(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	h := rationer.New(c)
	claim := rationer.Claim{Key: server, Limit: serverLimit(1)}
	h.Peek(claim)
	advance := claim
	advance.Advance = true
	require.True(t, h.Take(advance).Admitted)
	require.False(t, h.Take(advance).Admitted, "one request only")
	c.Time += timer.Second
	require.False(t, h.Take(claim).Admitted)
	c.Time += timer.Second
	require.True(t, h.Take(claim).Admitted)
}
