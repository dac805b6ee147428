package ejector_test

import (
	"errors"
	"io"
	"testing"

	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func start() (*harness.Clock, *ejector.Ejector) {
	c := &harness.Clock{Time: 1000}
	return c, ejector.New(c, zap.NewNop())
}

func TestSilentServerIsEjectedAndUsableAgainLater(t *testing.T) {
	c, e := start()
	e.Begin("s")
	c.Time += ejector.SilenceTimeout + 1
	require.False(t, e.Usable("s", false))
	e.End("s")
	c.Time += 5 * timer.Second
	require.True(t, e.Usable("s", false))
}

// Guards against a server that counts as silent for the time before a call, in which it had
// none.
func TestSilenceIsCountedFromTheFirstCallThatWaits(t *testing.T) {
	c, e := start()
	e.Begin("s")
	e.BytesReceived("s")
	e.End("s")
	c.Time += 10 * ejector.SilenceTimeout
	e.Begin("s")
	require.True(t, e.Usable("s", false))
	c.Time += ejector.SilenceTimeout + 1
	require.False(t, e.Usable("s", false))
}

// Guards against a server that stays ejected although it answers.
func TestServerThatSendsBytesIsUsableAtOnce(t *testing.T) {
	_, e := start()
	e.Unreachable("s")
	require.False(t, e.Usable("s", false))
	e.BytesReceived("s")
	require.True(t, e.Usable("s", false))
}

// A burst fills every server, and calls wait for slots without receiving a byte. That
// is not a failure of the servers.
func TestFullServerIsNotTreatedAsSilent(t *testing.T) {
	c, e := start()
	e.Begin("s")
	c.Time += ejector.SilenceTimeout + 1
	require.True(t, e.Usable("s", true))
	c.Time += ejector.FullSilenceTimeout
	require.False(t, e.Usable("s", true))
}

func TestOccasionalFailuresDoNotEject(t *testing.T) {
	_, e := start()
	for range 20 {
		e.CallBroken("s")
		e.CallBroken("s")
		e.Succeeded("s")
	}
	require.True(t, e.Usable("s", false))
	for range 3 {
		e.CallBroken("s")
	}
	require.False(t, e.Usable("s", false))
}

func TestEjectionTimeDoublesAndAnAnswerEndsIt(t *testing.T) {
	c, e := start()
	e.Unreachable("s")
	c.Time += 450
	require.True(t, e.Usable("s", false))
	e.Unreachable("s")
	c.Time += 450
	require.False(t, e.Usable("s", false))
	e.Succeeded("s")
	require.True(t, e.Usable("s", false))
}

func TestRemovedServersStartWithoutHistory(t *testing.T) {
	_, e := start()
	e.Unreachable("s")
	e.Retain(func(string) bool { return false })
	require.True(t, e.Usable("s", false))
}

// fleet is several hosts that exchange reports.
type fleet struct {
	c     *harness.Clock
	hosts []*ejector.Ejector
}

func newFleet(n int) *fleet {
	f := &fleet{c: &harness.Clock{Time: 1000}}
	for range n {
		f.hosts = append(f.hosts, ejector.New(f.c, zap.NewNop()))
	}
	return f
}

// exchangeReports sends each host's report to the others, twice.
func (f *fleet) exchangeReports() {
	for range 2 {
		for i, from := range f.hosts {
			for j, to := range f.hosts {
				if i != j {
					to.Merge(string(rune('a'+i)), "1", from.Report())
				}
			}
		}
	}
	f.c.Time += 30
}

func (f *fleet) usable(server string) int {
	n := 0
	for _, h := range f.hosts {
		if h.Usable(server, false) {
			n++
		}
	}
	return n
}

// A server claims to be healthy and resets every call at once, so that it always looks
// idle. Without reports, each of dozens of hosts would send it several calls.
func TestServerFailingAtSeveralHostsIsEjectedByAll(t *testing.T) {
	f := newFleet(9)
	for i := range 3 {
		require.Equal(t, 9, f.usable("s"))
		f.hosts[i].CallBroken("s")
		f.exchangeReports()
	}
	require.Zero(t, f.usable("s"))
	f.c.Time += 600
	require.Equal(t, 9, f.usable("s"), "usable again after the ejection")
	f.hosts[7].CallBroken("s")
	f.exchangeReports()
	require.Zero(t, f.usable("s"), "a single further broken call is enough")
	f.c.Time += 1000
	f.hosts[2].Succeeded("s")
	f.exchangeReports()
	require.Equal(t, 9, f.usable("s"))
}

// Many servers fail a few percent of their calls. Their capacity is needed.
func TestOccasionalFailuresAtManyHostsDoNotEject(t *testing.T) {
	f := newFleet(9)
	for i := range 40 {
		f.hosts[i%9].CallBroken("s")
		f.exchangeReports()
		f.hosts[(i+1)%9].Succeeded("s")
		f.hosts[i%9].Succeeded("s")
		f.exchangeReports()
		require.Equal(t, 9, f.usable("s"))
		f.c.Time += 600
	}
}

// Some hosts are cut off from servers that answer the other hosts.
func TestHostsThatAreCutOffDoNotCauseEjectionElsewhere(t *testing.T) {
	f := newFleet(9)
	for range 20 {
		for _, h := range f.hosts[2:] {
			h.Succeeded("s")
		}
		f.hosts[0].CallBroken("s")
		f.hosts[1].CallBroken("s")
		f.exchangeReports()
		f.exchangeReports()
		require.GreaterOrEqual(t, f.usable("s"), 7)
	}
}

func TestReportsOfOneHostAloneDoNotCauseEjectionElsewhere(t *testing.T) {
	f := newFleet(3)
	for range 5 {
		f.hosts[0].CallBroken("s")
		f.exchangeReports()
	}
	require.Equal(t, 2, f.usable("s"))
}

func TestEjectionAndReturnAreLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	c := &harness.Clock{Time: 1000}
	e := ejector.New(c, zap.New(core))
	e.Succeeded("s")
	e.Unreachable("s")
	c.Time += 500
	e.BytesReceived("s")
	e.BytesReceived("s")
	var got []string
	for _, l := range lines.All() {
		got = append(got, l.Message)
		require.Equal(t, "s", l.ContextMap()["server"])
	}
	require.Equal(t, []string{"server ejected", "server back"}, got)
}

// A server sent bytes that are no part of an answer to each call. Those that came for one call
// ended the ejection that others had caused, so that it got calls all the time.
func TestBytesThatAreNoAnswerDoNotEndAnEjection(t *testing.T) {
	c, e := start()
	rejected := errors.New("event without a number")
	for range 3 {
		e.Failed("s", rejected)
		e.BytesReceived("s")
	}
	require.False(t, e.Usable("s", false))
	c.Time += 500
	require.True(t, e.Usable("s", false), "it is tried again")
	e.Failed("s", rejected)
	e.BytesReceived("s")
	require.False(t, e.Usable("s", false))
	c.Time += 500
	require.False(t, e.Usable("s", false), "for longer")
	c.Time += 500
	require.True(t, e.Usable("s", false))
	e.Succeeded("s")
	for range 3 {
		e.Failed("s", &transporter.BrokenError{Server: "s", Err: io.ErrUnexpectedEOF})
	}
	e.BytesReceived("s")
	require.True(t, e.Usable("s", false), "bytes end an ejection for connections that broke")
}
