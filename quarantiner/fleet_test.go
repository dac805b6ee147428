package quarantiner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	crashingCall = uint64(7)
	prefix       = "q/"
	// tick is the time step of the simulated fleet, readInterval the interval at which hosts
	// read the store.
	tick         timer.Millis = 20
	readInterval timer.Millis = 600
	// settleTime is how long after the third crash, and after its start, a host may take to
	// receive the records that the others have.
	settleTime = 3 * timer.Second
	// maxRetries is how many more servers may crash under a call after that.
	maxRetries = 3
)

func key(fingerprint uint64) string { return prefix + strconv.FormatUint(fingerprint, 16) }

// host is one host of a simulated fleet.
type host struct {
	tracker *suspector.Tracker
	store   *quarantiner.Quarantiner
	started timer.Millis
	// view holds the servers in the host's snapshot, by identifier.
	view map[string]cataloger.Server
}

// fleet simulates hosts and servers that crash under one call.
type fleet struct {
	t           *testing.T
	random      *rand.Rand
	clock       timer.Clock
	ledger      *storer.MemoryLedger
	hosts       []*host
	servers     map[string]cataloger.Server
	serverCount int
	// restarts holds the servers that will start, by time.
	restarts map[timer.Millis][]cataloger.Server
	// crashes holds the times at which servers crashed under crashingCall. retries counts
	// those that happened after the host which sent the call should have received its
	// record.
	crashes []timer.Millis
	retries int
	// threshold is the number of crashes after which every host must refuse what causes
	// them; lastCrashed is the server that crashed last.
	threshold   int
	lastCrashed cataloger.Server
}

func newFleet(t *testing.T, seed uint64, hosts, servers int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), clock: timer.System(),
		servers: make(map[string]cataloger.Server), restarts: make(map[timer.Millis][]cataloger.Server),
		threshold: 3,
	}
	f.ledger = storer.NewMemoryLedger(f.clock)
	for range servers {
		v := f.newServer()
		f.servers[v.ID] = v
	}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	return f
}

func (f *fleet) newServer() cataloger.Server {
	f.serverCount++
	return cataloger.Server{ID: fmt.Sprint("s", f.serverCount), Service: "svc", StartedAt: int64(f.serverCount)}
}

func (f *fleet) newHost() *host {
	q := quarantiner.New(quarantiner.Options{Ledger: f.ledger, Key: key, Clock: f.clock, Logger: zap.NewNop()})
	h := &host{store: q, tracker: suspector.NewTracker(f.clock, zap.NewNop(), q), started: f.clock.Now()}
	f.read(h)
	return h
}

// read updates a host from the store; it does nothing while the store is unavailable.
func (f *fleet) read(h *host) {
	items, _, err := f.ledger.Range(f.t.Context(), prefix)
	if err != nil {
		return
	}
	s := cataloger.Snapshot{}
	for _, v := range f.servers {
		s = s.WithServer(v)
	}
	for _, i := range items {
		fingerprint, err := strconv.ParseUint(i.Key[len(prefix):], 16, 64)
		require.NoError(f.t, err)
		var q cataloger.Quarantine
		require.NoError(f.t, cbor.Unmarshal(i.Value, &q))
		q.Revision = uint64(i.Revision)
		s = s.WithQuarantine(fingerprint, q)
	}
	h.view = s.Servers
	h.tracker.ApplySnapshot(s)
}

// kill replaces a host by a new one without state.
func (f *fleet) kill(i int) {
	f.hosts[i].store.Close()
	f.hosts[i] = f.newHost()
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.store.Close()
	}
}

// step simulates one tick: servers start, and hosts exchange records and read the store.
func (f *fleet) step(n int) {
	now := f.clock.Now()
	for at, list := range f.restarts {
		if at <= now {
			for _, v := range list {
				f.servers[v.ID] = v
			}
			delete(f.restarts, at)
		}
	}
	for i, h := range f.hosts {
		records := h.tracker.Records()
		for j, o := range f.hosts {
			if i != j && f.random.Float64() < 0.8 {
				o.tracker.Merge(records)
			}
		}
		if (n+i)%int(readInterval/tick) == 0 {
			f.read(h)
		}
	}
	synctest.Wait()
}

// call sends a call without a prompt; see send.
func (f *fleet) call(h *host, fingerprint uint64, crashes, left bool) bool {
	return f.send(h, suspector.Call{Fingerprint: fingerprint}, crashes, left)
}

// send sends a call from a host to a server in the host's view. If crashes is set, the
// server crashes under it; with left, the caller disconnects before that. send reports
// whether the call was admitted.
func (f *fleet) send(h *host, c suspector.Call, crashes, left bool) bool {
	if _, ok := h.tracker.Admit(f.t.Context(), c); !ok {
		return false
	}
	now := f.clock.Now()
	v, ok := f.pick(h)
	if !ok {
		return true
	}
	if !crashes {
		h.tracker.Answered(v.Incarnation())
		h.tracker.Completed(c)
		return true
	}
	f.crash(v)
	a := suspector.Attempt{Call: c, Server: v.Incarnation(), Sent: now}
	if left {
		h.tracker.Unanswered(a)
	} else {
		h.tracker.Failed(a)
	}
	if n := f.threshold; len(f.crashes) >= n && now > f.crashes[n-1]+settleTime && now > h.started+settleTime {
		f.retries++
	}
	f.crashes = append(f.crashes, now)
	f.lastCrashed = v
	return true
}

// pick returns a server that is in the host's view and is up.
func (f *fleet) pick(h *host) (cataloger.Server, bool) {
	for id, v := range h.view {
		if w, ok := f.servers[id]; ok && w.StartedAt == v.StartedAt {
			return v, true
		}
	}
	return cataloger.Server{}, false
}

// crash stops a server and schedules its restart a second later, in most cases under
// another name.
func (f *fleet) crash(v cataloger.Server) {
	delete(f.servers, v.ID)
	next := f.newServer()
	if f.random.Float64() < 0.3 {
		next.ID = v.ID
	}
	at := f.clock.Now() + timer.Second
	f.restarts[at] = append(f.restarts[at], next)
}

// simulate runs ticks for the given time and calls each after every one of them.
func (f *fleet) simulate(length timer.Millis, each func(n int)) {
	for n := range int(length / tick) {
		f.step(n)
		each(n)
		timer.Sleep(context.Background(), tick)
	}
}

// A request that had crashed three servers was still sent to servers repeatedly, and
// crashed each of them. Here it arrives three times a second at a random host, digests
// are lost, its caller sometimes leaves first, and hosts are replaced one by one and all
// at once.
func TestCrashingCallIsRefusedDespiteRestartsAndLostDigests(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 9, 9)
				defer f.close()
				f.simulate(90*timer.Second, func(n int) {
					if n%15 == 0 {
						f.call(f.hosts[f.random.IntN(len(f.hosts))], crashingCall, true, f.random.Float64() < 0.2)
					}
					if n%250 == 249 {
						f.kill(f.random.IntN(len(f.hosts)))
					}
					if n%2000 == 1999 {
						for i := range f.hosts {
							f.kill(i)
						}
					}
				})
				require.GreaterOrEqual(t, len(f.crashes), 3)
				require.LessOrEqual(t, f.retries, maxRetries)
			})
		})
	}
}

// All hosts sent the call again at the moment when its wait was over.
func TestOnlyOneHostTriesARefusedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 30, 60)
		defer f.close()
		f.simulate(2*timer.Second, func(n int) {
			if n%50 == 0 {
				f.call(f.hosts[0], crashingCall, true, false)
			}
		})
		f.call(f.hosts[0], crashingCall, true, false)
		f.simulate(2*timer.Second, func(int) {})
		before := len(f.crashes)
		require.Equal(t, 3, before)
		f.simulate(18*timer.Second, func(int) {
			for _, h := range f.hosts {
				f.call(h, crashingCall, true, false)
			}
		})
		require.Equal(t, before+1, len(f.crashes))
	})
}

// Servers crash in bursts with a harmless call in flight that many callers send. It is
// refused until its first trial at most, and not after that.
func TestHarmlessCallIsServedAgainAfterItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 9, 9)
		defer f.close()
		for range 3 {
			f.call(f.hosts[0], crashingCall, true, false)
		}
		served := 0
		f.simulate(20*timer.Second, func(n int) {
			if f.call(f.hosts[n%len(f.hosts)], crashingCall, false, false) {
				served++
			}
		})
		require.Greater(t, served, 150, "too few of the 200 calls in the seconds after the first trial were served")
	})
}

// The store is unavailable when the wait of a call is over.
func TestNoCallIsTriedWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4, 9)
		defer f.close()
		for range 3 {
			f.call(f.hosts[0], crashingCall, true, false)
		}
		f.simulate(2*timer.Second, func(int) {})
		f.ledger.SetUnavailable(true)
		f.simulate(40*timer.Second, func(int) {
			for _, h := range f.hosts {
				require.False(t, f.call(h, crashingCall, true, false))
			}
		})
		f.ledger.SetUnavailable(false)
		f.simulate(10*timer.Second, func(int) {
			for _, h := range f.hosts {
				f.call(h, crashingCall, true, false)
			}
		})
		require.Len(t, f.crashes, 4)
	})
}

// The store applies the transaction of a trial only after the claim has timed out. The
// trial is not granted; the late write only lengthens the wait before the next one.
func TestTrialWithoutAReplyFromTheStoreIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 9)
		defer f.close()
		for range 3 {
			f.call(f.hosts[0], crashingCall, true, false)
		}
		f.simulate(16*timer.Second, func(int) {})
		f.ledger.DelayCommits(1)
		require.False(t, f.call(f.hosts[0], crashingCall, true, false))
		f.ledger.ApplyDelayed()
		f.simulate(3*timer.Second, func(int) {})
		wait, ok := f.hosts[1].store.Wait(crashingCall)
		require.True(t, ok)
		require.Greater(t, wait, 50*timer.Second)
	})
}

// The store is unavailable when servers crash under a call. The record is written when
// the store is back, and few requests are sent to it until then.
func TestRecordIsWrittenOnceTheStoreIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 3, 9)
		defer f.close()
		f.ledger.SetUnavailable(true)
		for range 3 {
			f.call(f.hosts[0], crashingCall, true, false)
		}
		f.simulate(20*timer.Second, func(int) {})
		f.ledger.SetUnavailable(false)
		f.simulate(6*timer.Second, func(int) {})
		for i := range f.hosts {
			f.kill(i)
			require.False(t, f.call(f.hosts[i], crashingCall, true, false))
		}
	})
}
