package picker_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/warmer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// coldRate is what a cold server takes, in requests a second, and coldBound the most that it
// may get in a second.
const coldRate, coldBound = 14, 26

// coldFleet is a fleet of entry and bulk hosts on one clock.
type coldFleet struct {
	clock    *harness.Clock
	snapshot cataloger.Snapshot
	pickers  []*picker.Picker
	// deaf hosts know nothing of the calls of others.
	deaf func(host int) bool
	// sent holds the times of the requests to each server, held and refused count the calls
	// that were held back, and those without a server.
	sent          map[string][]timer.Millis
	held, refused int
}

// bulk reports whether a host is a bulk host: each third one.
func bulk(host int) bool { return host%3 == 2 }

func newColdFleet(hosts int) *coldFleet {
	f := &coldFleet{clock: &harness.Clock{Time: 10000}, sent: make(map[string][]timer.Millis), deaf: func(int) bool { return false }}
	f.snapshot = f.snapshot.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{Version: 1, Services: []cataloger.Service{{Name: "x", WarmupRate: coldRate}}}))
	for i := range hosts {
		f.snapshot = f.snapshot.WithMember(cataloger.Member{Name: fmt.Sprintf("h%02d", i)})
	}
	f.pickers = make([]*picker.Picker, hosts)
	for i := range hosts {
		f.start(i)
	}
	return f
}

// start starts a host, again if it runs.
func (f *coldFleet) start(host int) {
	w := warmer.New(fmt.Sprintf("h%02d", host), f.clock, zap.NewNop())
	w.ApplySnapshot(f.snapshot)
	f.pickers[host] = picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return f.snapshot }, Ejector: ejector.New(f.clock, zap.NewNop()), OnChange: func() {},
		Leaving: func(cataloger.Incarnation) bool { return false }, Throttler: throttler.New(f.clock, zap.NewNop()), Warmer: w,
		Slowdown: func(string) float64 { return 1 }, DataCentre: "a",
		RemoteLoad: func(server string) gossiper.Load {
			var out gossiper.Load
			for i, p := range f.pickers {
				if i != host && p != nil && !f.deaf(host) {
					out.Online += p.Loads()[server].Online
					out.Batch += p.Loads()[server].Batch
				}
			}
			return out
		},
	})
}

// setServer adds a server of eight slots, which is cold for a time.
func (f *coldFleet) setServer(id, dataCentre string, cold timer.Millis, again bool) {
	v := cataloger.Server{ID: id, Service: "x", DataCentre: dataCentre, Slots: 8, StartedAt: 1}
	if cold > 0 {
		v.Cold = &cataloger.ColdPeriod{From: f.clock.Time, Until: f.clock.Time + cold, Again: again}
	}
	f.snapshot = f.snapshot.WithServer(v)
}

// send makes one request from a host. It returns nil if there is no server for it.
func (f *coldFleet) send(host int) *picker.Reservation {
	p := f.pickers[host]
	if bulk(host) {
		for _, c := range p.Candidates("x", throttler.Batch{}) {
			if r, ok := p.Reserve(c.Server, throttler.Batch{}); ok {
				return f.record(r)
			}
		}
		return nil
	}
	r, err := p.Pick("x", selector.Request{})
	if err != nil {
		var held *picker.HeldBackError
		if f.refused++; errors.As(err, &held) {
			f.held++
		}
		return nil
	}
	return f.record(r)
}

func (f *coldFleet) record(r *picker.Reservation) *picker.Reservation {
	r.SetSent(true)
	f.sent[r.Server.ID] = append(f.sent[r.Server.ID], f.clock.Time)
	return r
}

// press lets all hosts send as much as they can for a time.
func (f *coldFleet) press(d timer.Millis) {
	for end := f.clock.Time + d; f.clock.Time < end; f.clock.Time += 10 {
		for host := range f.pickers {
			if r := f.send(host); r != nil {
				r.Release()
			}
		}
	}
}

// most returns the most requests that a server got in a second.
func (f *coldFleet) most(server string) int {
	best := 0
	list := f.sent[server]
	for i := range list {
		n := 0
		for _, at := range list[i:] {
			if at < list[i]+timer.Second {
				n++
			}
		}
		best = max(best, n)
	}
	return best
}

// A data centre returns at the peak, with 29 cold servers among 48. Its servers get no more
// than they take, no call is refused, and they carry their part once they are warm.
func TestDataCentreReturnsWith29ColdServersAtThePeak(t *testing.T) {
	const cold = 3000
	f := newColdFleet(18)
	for i := range 48 {
		dataCentre := "a"
		if i < 29 {
			dataCentre = "b"
		}
		f.setServer(fmt.Sprintf("s%02d", i), dataCentre, 0, false)
	}
	f.snapshot = f.snapshot.WithEvacuated("b", true)
	type running struct {
		r   *picker.Reservation
		end timer.Millis
	}
	var calls []running
	runFor := func(d timer.Millis) {
		for end := f.clock.Time + d; f.clock.Time < end; f.clock.Time += 10 {
			for len(calls) > 0 && calls[0].end <= f.clock.Time {
				calls[0].r.Release()
				calls = calls[1:]
			}
			// 400 calls a second of 0.3 s each: 120 of the 152 slots of the other servers.
			for range 4 {
				if r := f.send(int(f.clock.Time/10*7+timer.Millis(len(calls))) % 6 * 3); r != nil {
					calls = append(calls, running{r, f.clock.Time + 300})
				}
			}
		}
	}
	runFor(2000)
	for i := range 29 {
		require.Empty(t, f.sent[fmt.Sprintf("s%02d", i)], "the data centre is evacuated")
		f.setServer(fmt.Sprintf("s%02d", i), "b", cold, false)
	}
	f.snapshot = f.snapshot.WithEvacuated("b", false)
	runFor(cold)
	total := 0
	for i := range 29 {
		require.LessOrEqual(t, f.most(fmt.Sprintf("s%02d", i)), coldRate)
		total += len(f.sent[fmt.Sprintf("s%02d", i)])
	}
	require.Greater(t, total, 29*2, "load returns while they are cold")
	clear(f.sent)
	runFor(2000)
	total = 0
	for i := range 29 {
		total += len(f.sent[fmt.Sprintf("s%02d", i)])
	}
	require.InDelta(t, 800*29/48, total, 160, "they carry their part")
	require.Zero(t, f.refused)
}

// Hosts do not hear one another, and then half of them are cut off from the store and their
// entries expire for the others. All send what they can to the only server, which is cold.
func TestHalfOfTheHostsDoNotHearTheOthersWhileAServerIsCold(t *testing.T) {
	for _, hosts := range []int{4, 10, 14, 24, 60} {
		f := newColdFleet(hosts)
		f.deaf = func(int) bool { return true }
		f.setServer("s", "a", 20000, false)
		f.press(3000)
		require.LessOrEqual(t, f.most("s"), coldRate, "%d hosts", hosts)
		require.GreaterOrEqual(t, f.most("s"), coldRate/2, "%d hosts", hosts)
		whole := f.snapshot
		for i := hosts / 2; i < hosts; i++ {
			f.snapshot = f.snapshot.WithoutMember(fmt.Sprintf("h%02d", i))
		}
		for i := range hosts / 2 {
			f.start(i)
		}
		f.snapshot = whole
		f.press(4000)
		require.LessOrEqual(t, f.most("s"), coldBound, "%d hosts", hosts)
	}
}

// Hosts are killed and restarted within a second, again and again, while a server is cold.
func TestHostsRestartWithinASecondWhileAServerIsCold(t *testing.T) {
	f := newColdFleet(12)
	f.setServer("s", "a", 20000, false)
	for i := range 20 {
		f.press(370)
		f.start(i * 5 % 12)
	}
	require.LessOrEqual(t, f.most("s"), coldRate)
	require.Greater(t, len(f.sent["s"]), 20)
}

// A server that takes all load becomes cold again: from the receipt of its entry on it gets
// no more than it takes.
func TestServerBecomesColdAgain(t *testing.T) {
	f := newColdFleet(12)
	f.setServer("s", "a", 0, false)
	f.press(2000)
	require.Greater(t, f.most("s"), 1000)
	clear(f.sent)
	at := f.clock.Time
	f.setServer("s", "a", 4000, true)
	f.press(4000)
	require.LessOrEqual(t, f.most("s"), coldRate)
	require.GreaterOrEqual(t, f.sent["s"][0], at+timer.Second, "what was sent before counts")
}

// Only cold servers are left. Callers are told when there is room.
func TestCallersAreToldWhenAColdServerHasRoom(t *testing.T) {
	f := newColdFleet(1)
	f.setServer("s", "a", 20000, false)
	f.clock.Time += 2000
	for range coldRate {
		require.NotNil(t, f.send(0))
	}
	_, err := f.pickers[0].Pick("x", selector.Request{})
	var held *picker.HeldBackError
	require.ErrorAs(t, err, &held)
	require.Equal(t, picker.HeldBackError{Service: "x", Servers: 1, Cold: 1, Rate: coldRate, RetryAfter: 1100, Age: 2000}, *held)
	f.clock.Time += held.RetryAfter
	require.NotNil(t, f.send(0))
}

// Calls that were not sent, and those that the server answered with 421, do not count.
func TestCallThatDidNotReachAColdServerDoesNotCount(t *testing.T) {
	f := newColdFleet(1)
	f.setServer("s", "a", 20000, false)
	f.clock.Time += 2000
	for i := range 3 * coldRate {
		r, err := f.pickers[0].Pick("x", selector.Request{})
		require.NoError(t, err)
		if r.SetSent(i%2 == 0); i%2 == 0 {
			r.Misdirected()
		}
		r.Release()
	}
}

// A limit that the server names leaves less than its share while it is cold: both hold.
func TestLimitOfAColdServerHoldsToo(t *testing.T) {
	f := newColdFleet(1)
	f.setServer("s", "a", 20000, false)
	f.clock.Time += 2000
	f.send(0).Answered([]string{"1"}, true)
	f.clock.Time += timer.Second
	require.NotNil(t, f.send(0))
	require.Nil(t, f.send(0))
	require.Equal(t, 1, f.held)
}

// Two data centres are evacuated, then all: calls and items find no server there, and the
// server that an item was meant for just before is not used either.
func TestEvacuatedServersAreNoCandidates(t *testing.T) {
	f := newColdFleet(3)
	for _, dataCentre := range []string{"a", "b", "c"} {
		f.setServer("s-"+dataCentre, dataCentre, 0, false)
	}
	item := f.snapshot.Servers["s-a"]
	f.snapshot = f.snapshot.WithEvacuated("a", true).WithEvacuated("b", true).WithEvacuated("nowhere", true)
	require.Equal(t, 8, f.pickers[0].TotalSlots("x"))
	f.press(100)
	require.Len(t, f.sent, 1)
	require.NotEmpty(t, f.sent["s-c"])
	_, ok := f.pickers[2].Reserve(item, throttler.Batch{})
	require.False(t, ok)
	f.snapshot = f.snapshot.WithEvacuated("c", true)
	_, err := f.pickers[0].Pick("x", selector.Request{})
	var none *picker.NoServerError
	require.ErrorAs(t, err, &none)
	require.Equal(t, picker.NoServerError{Service: "x", Evacuated: 3}, *none)
	require.Empty(t, f.pickers[2].Candidates("x", throttler.Batch{}))
	f.snapshot = f.snapshot.WithEvacuated("a", false)
	require.Equal(t, "s-a", f.send(0).Server.ID, "candidates again at once")
}
