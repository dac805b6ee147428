package recorder_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/copier"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fleet is a set of hosts, of which the first four have a data folder.
type fleet struct {
	t      *testing.T
	net    *messenger.Memory
	hosts  map[string]*host
	mu     sync.Mutex
	record registrar.Record
}

type host struct {
	f        *fleet
	self     registrar.Member
	key      ed25519.PrivateKey
	folder   string
	local    *archiver.Store
	copier   *copier.Copier
	sealer   *recorder.Sealer
	client   *replicator.Client
	recorder *recorder.Recorder
}

func (h *host) View() coordinator.Snapshot {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	return coordinator.Snapshot{Self: h.self}.WithRecord(h.f.record)
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, net: messenger.NewMemory(), hosts: make(map[string]*host)}
	for i := range n {
		h := &host{f: f, folder: t.TempDir(), self: registrar.Member{
			Name: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), PeerAddress: fmt.Sprintf("h%d", i), Bulk: i < 4,
		}}
		f.hosts[h.self.Name] = h
		h.start("1")
	}
	return f
}

// start starts an incarnation whose key is derived from its name.
func (h *host) start(number string) {
	t := h.f.t
	h.self.Incarnation = h.self.Name + "-" + number
	h.key = ed25519.NewKeyFromSeed(bytes.Repeat([]byte(h.self.Incarnation), 8)[:32])
	h.self.UsageKey = h.key.Public().(ed25519.PublicKey)
	peer := h.f.net.Host(h.self.Name, messenger.Peer{Name: h.self.Name})
	h.client = replicator.NewClient(replicator.ClientOptions{Caller: peer, Viewer: h, Log: zap.NewNop()})
	if h.self.Bulk {
		var err error
		h.local, err = archiver.Open(archiver.StoreOptions{Folder: h.folder, Sync: persister.SyncNever, Log: zap.NewNop()})
		require.NoError(t, err)
		h.local.Register(peer, peer)
		h.copier = copier.New(copier.Options{
			Store: h.local, Client: h.client, Self: h.self.Name, Clock: timer.System(), Log: zap.NewNop(),
		})
		h.sealer = recorder.NewSealer(recorder.SealerOptions{
			Local: h.local, Archive: h.client, Viewer: h, Clock: timer.System(), Log: zap.NewNop(),
		})
	}
	h.f.mu.Lock()
	h.f.record = h.f.record.WithMember(h.self)
	h.f.mu.Unlock()
	var err error
	h.recorder, err = recorder.New(recorder.Options{
		Archive: h.client, Viewer: h, Key: h.key, Log: zap.NewNop(), FlushCount: 4, MaxBuffered: 16,
	})
	require.NoError(t, err)
}

// stop stops the host. A timeout of 0 simulates a host failure: the host is
// disconnected first, so its recorder can't store anything more.
func (h *host) stop(timeout timer.Millis) error {
	if timeout == 0 {
		h.f.net.Remove(h.self.Name)
		for _, o := range h.f.hosts {
			h.f.net.Cut(h.self.Name, o.self.Name, true)
		}
	}
	err := h.recorder.Close(timeout)
	h.f.net.Remove(h.self.Name)
	if h.self.Bulk {
		h.copier.Close()
		h.sealer.Close()
		require.NoError(h.f.t, h.local.Close())
	}
	for _, o := range h.f.hosts {
		h.f.net.Cut(h.self.Name, o.self.Name, false)
	}
	return err
}

func (h *host) leave() {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	h.f.record = h.f.record.WithoutMember(h.self.Name, h.self.Incarnation)
}

func (f *fleet) close(except ...string) {
	for name, h := range f.hosts {
		if !slices.Contains(except, name) {
			_ = h.stop(timer.Second)
		}
	}
}

// keys returns the current members' keys.
func (f *fleet) keys() recorder.Keys {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(recorder.Keys)
	for _, m := range f.record.Members {
		out[m.Incarnation] = m.UsageKey
	}
	return out
}

func entry(id string) recorder.Entry {
	return recorder.Entry{
		RequestID: id, Workspace: "kitchen", Owner: "sundarban", Class: requester.Online,
		Usage: requester.Usage{PromptTokens: 3, CompletionTokens: 2}, At: timer.Wall(),
	}
}

func (f *fleet) requests(b recorder.Bill) int64 {
	var n int64
	for _, l := range b.Lines {
		n += l.Requests
	}
	return n
}

func TestUsageOfAllHostsIsReportedAndVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		for _, h := range f.hosts {
			for i := range 30 {
				require.NoError(t, h.recorder.Record(t.Context(), entry(fmt.Sprint(h.self.Name, i))))
			}
		}
		time.Sleep(5 * time.Second)
		bill, err := recorder.Report(t.Context(), f.hosts["h5"].client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.Equal(t, int64(180), f.requests(bill))
		require.Equal(t, requester.Usage{PromptTokens: 540, CompletionTokens: 360}, bill.Lines[0].Usage)

		require.NoError(t, f.hosts["h4"].recorder.Record(t.Context(), entry("later")))
		time.Sleep(5 * time.Second)
		chains, _, err := recorder.Collect(t.Context(), f.hosts["h1"].client)
		require.NoError(t, err)
		require.NoError(t, recorder.Verify(bill, chains, f.keys()), "later records are no fault")
		bill.Lines[0].Requests++
		var fault *recorder.FaultError
		require.ErrorAs(t, recorder.Verify(bill, chains, f.keys()), &fault)
		require.Equal(t, recorder.FaultTotal, fault.Kind)
	})
}

// A bill that was computed while holders could not be reached did not say so, though their
// records may be missing from it.
func TestBillNamesTheHoldersThatDidNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		require.NoError(t, f.hosts["h5"].recorder.Record(t.Context(), entry("a")))
		time.Sleep(5 * time.Second)
		bill, err := recorder.Report(t.Context(), f.hosts["h5"].client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.Empty(t, bill.Unreached)
		for _, holder := range []string{"h1", "h2"} {
			f.net.Cut("h5", holder, true)
		}
		bill, err = recorder.Report(t.Context(), f.hosts["h5"].client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.Equal(t, []string{"h1", "h2"}, bill.Unreached)
	})
}

// After a host failure, flushed entries must be kept, the loss must be within the
// bound, the host's segments must be sealed, and its key must remain trusted.
func TestHostFailureLosesNoMoreThanTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		time.Sleep(3 * time.Second) // the other hosts attest the key
		h := f.hosts["h5"]
		for i := range 50 {
			require.NoError(t, h.recorder.Record(t.Context(), entry(fmt.Sprint(i))))
			time.Sleep(100 * time.Millisecond)
		}
		require.NoError(t, h.recorder.Flush(t.Context()))
		for i := range 10 {
			require.NoError(t, h.recorder.Record(t.Context(), entry(fmt.Sprint("unflushed", i))))
		}
		require.Error(t, h.stop(0))
		h.leave()
		time.Sleep(5 * time.Minute)
		bill, err := recorder.Report(t.Context(), f.hosts["h0"].client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.GreaterOrEqual(t, f.requests(bill), int64(50))
		require.LessOrEqual(t, f.requests(bill), int64(60))
		l, err := f.hosts["h0"].client.List(t.Context(), "usage/h5/")
		require.NoError(t, err)
		for _, i := range l.Infos {
			require.True(t, i.Final, i.Name)
		}
		h.start("2")
		time.Sleep(3 * time.Second)
		_, err = recorder.Report(t.Context(), f.hosts["h0"].client, recorder.Query{}, f.keys())
		require.NoError(t, err, "the old incarnation's key is attested")
	})
}

// TestUsageOutlivesAStopOfAllHosts guards against a bill that can't be computed any more
// once all hosts have stopped in order and started again, since nobody attests the keys of
// those that left together; and against one that lacks their last records without saying so.
func TestUsageOutlivesAStopOfAllHosts(t *testing.T) {
	for _, order := range [][]string{{"h0", "h1", "h2", "h3"}, {"h3", "h2", "h1", "h0"}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4)
			require.NoError(t, f.hosts["h3"].recorder.Record(t.Context(), entry("a")))
			time.Sleep(5 * time.Second)
			for _, name := range order {
				require.NoError(t, f.hosts[name].stop(timer.Second))
				f.hosts[name].leave()
			}
			for _, name := range order {
				f.hosts[name].start("2")
			}
			defer f.close()
			time.Sleep(5 * time.Second)
			bill, err := recorder.Report(t.Context(), f.hosts["h0"].client, recorder.Query{}, f.keys())
			require.NoError(t, err)
			require.True(t, f.requests(bill) == 1 || slices.Contains(bill.Unsealed, "h3"), "%+v", bill)
			time.Sleep(90 * time.Second)
			bill, err = recorder.Report(t.Context(), f.hosts["h0"].client, recorder.Query{}, f.keys())
			require.NoError(t, err)
			require.EqualValues(t, 1, f.requests(bill))
			require.Empty(t, bill.Unsealed)
		})
	}
}

func TestUnattestedKeyIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		h := f.hosts["h3"]
		require.NoError(t, h.recorder.Record(t.Context(), entry("a")))
		time.Sleep(5 * time.Second)
		keys := f.keys()
		keys["h3-1"] = ed25519.NewKeyFromSeed(make([]byte, 32)).Public().(ed25519.PublicKey)
		_, err := recorder.Report(t.Context(), h.client, recorder.Query{}, keys)
		var fault *recorder.FaultError
		require.ErrorAs(t, err, &fault)
		require.Equal(t, recorder.FaultUnknownKey, fault.Kind)
		require.Equal(t, "h3", fault.Host)
	})
}

func TestLosingAHolderCountsNoRequestTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		h := f.hosts["h4"]
		var lost string
		for i := range 40 {
			require.NoError(t, h.recorder.Record(t.Context(), entry(fmt.Sprint(i))))
			time.Sleep(200 * time.Millisecond)
			if i != 20 {
				continue
			}
			l, err := h.client.List(t.Context(), "usage/h4/")
			require.NoError(t, err)
			lost = l.Infos[0].Holders[0]
			require.NoError(t, f.hosts[lost].stop(timer.Second))
			f.hosts[lost].leave()
		}
		defer f.close(lost)
		require.NoError(t, h.recorder.Flush(t.Context()))
		time.Sleep(15 * time.Second)
		l, err := h.client.List(t.Context(), "usage/h4/")
		require.NoError(t, err)
		require.Greater(t, len(l.Infos), 1, "a new segment was begun")
		bill, err := recorder.Report(t.Context(), h.client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.Equal(t, int64(40), f.requests(bill))
	})
}

func TestRecordDoesNotBlockBelowMaxBuffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.close()
		h := f.hosts["h4"]
		time.Sleep(3 * time.Second)
		for _, o := range f.hosts {
			f.net.Cut("h4", o.self.Name, true)
		}
		started, accepted := time.Now(), 0
		for range 16 {
			require.NoError(t, h.recorder.Record(t.Context(), entry("x")))
			accepted++
		}
		require.Zero(t, time.Since(started))
		var err error
		for ; err == nil; accepted++ {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			err = h.recorder.Record(ctx, entry("y"))
			cancel()
		}
		var full *recorder.FullError
		require.ErrorAs(t, err, &full)
		accepted--
		for _, o := range f.hosts {
			f.net.Cut("h4", o.self.Name, false)
		}
		time.Sleep(20 * time.Second)
		bill, err := recorder.Report(t.Context(), h.client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.Equal(t, int64(accepted), f.requests(bill), "what was taken is kept once holders are back")
	})
}

// The timeout of Close ended while a flush was being written to holders that cannot be
// reached. Flush reported success, and billing went on without the entries.
func TestFlushReportsEntriesThatCloseGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.close("h4")
		h := f.hosts["h4"]
		for _, o := range f.hosts {
			f.net.Cut("h4", o.self.Name, true)
		}
		for i := range 3 {
			require.NoError(t, h.recorder.Record(t.Context(), entry(fmt.Sprint(i))))
		}
		flushed := make(chan error, 1)
		go func() { flushed <- h.recorder.Flush(t.Context()) }()
		synctest.Wait()
		require.Error(t, h.stop(2*timer.Second))
		var lost *recorder.LostError
		require.ErrorAs(t, <-flushed, &lost)
		require.Equal(t, 3, lost.Entries)
	})
}

func TestCloseStoresBufferedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.close("h4")
		h := f.hosts["h4"]
		for i := range 10 {
			require.NoError(t, h.recorder.Record(t.Context(), entry(fmt.Sprint(i))))
		}
		require.NoError(t, h.stop(5*timer.Second))
		require.ErrorIs(t, h.recorder.Record(t.Context(), entry("late")), recorder.ErrClosed)
		bill, err := recorder.Report(t.Context(), f.hosts["h0"].client, recorder.Query{}, f.keys())
		require.NoError(t, err)
		require.Equal(t, int64(10), f.requests(bill))
		l, err := f.hosts["h0"].client.List(t.Context(), "usage/h4/")
		require.NoError(t, err)
		require.True(t, l.Infos[0].Final)
		require.True(t, strings.HasPrefix(l.Infos[0].Name, "usage/h4/h4-1/"))
	})
}
