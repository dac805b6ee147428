package follower_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// delays are random times that requests and answers take: less than most, and at times four
// times longer, so that hosts turn to others.
type delays struct {
	mu     sync.Mutex
	random *rand.Rand
	most   timer.Millis
}

func (d *delays) wait(ctx context.Context) error {
	d.mu.Lock()
	m := timer.Millis(d.random.IntN(int(d.most)))
	if d.random.IntN(6) == 0 {
		m *= 4
	}
	d.mu.Unlock()
	if !timer.Sleep(ctx, m) {
		return ctx.Err()
	}
	return nil
}

// slowLedger is a store to which requests, and answers back, take a while.
type slowLedger struct {
	storer.Ledger
	delays *delays
}

func (s slowLedger) Watch(ctx context.Context, prefix string, after storer.Revision, wait timer.Millis) (storer.Changes, error) {
	if err := s.delays.wait(ctx); err != nil {
		return storer.Changes{}, err
	}
	c, err := s.Ledger.Watch(ctx, prefix, after, wait)
	if err != nil {
		return c, err
	}
	return c, s.delays.wait(ctx)
}

func (s slowLedger) Range(ctx context.Context, prefix string) ([]storer.Item, storer.Revision, error) {
	if err := s.delays.wait(ctx); err != nil {
		return nil, 0, err
	}
	items, from, err := s.Ledger.Range(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	return items, from, s.delays.wait(ctx)
}

// slowCaller calls hosts to which requests, and answers back, take a while.
type slowCaller struct {
	messenger.Caller
	delays *delays
}

func (s slowCaller) Call(ctx context.Context, address string, m messenger.Method, body []byte, each func([]byte) error) error {
	if err := s.delays.wait(ctx); err != nil {
		return err
	}
	return s.Caller.Call(ctx, address, m, body, func(frame []byte) error {
		if err := s.delays.wait(ctx); err != nil {
			return err
		}
		return each(frame)
	})
}

// Guards against confirmations that are timed from the answer, of the store or of another
// host: a host would act on a configuration for longer than its age allows. A snapshot has
// each version that was accepted before its confirmation, and revisions never fall.
func TestConfirmationIsNotFresherThanItsRequest(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { delayedFleet(t, seed) })
		})
	}
}

func delayedFleet(t *testing.T, seed uint64) {
	const hosts, versions = 5, 200
	clock, random := timer.System(), rand.New(rand.NewPCG(seed, 1))
	ledger, net := storer.NewMemoryLedger(clock), messenger.NewMemory()
	set := func(version int) {
		_, err := ledger.Commit(t.Context(), storer.Transaction{Set: []storer.Item{{Key: "config", Value: []byte(strconv.Itoa(version))}}})
		require.NoError(t, err)
	}
	set(0)
	var mu sync.Mutex
	// accepted holds when each version from 1 on was accepted.
	var accepted []timer.Millis
	var all []*follower.Follower
	started := make(chan struct{})
	candidates := func() []follower.Reader {
		<-started
		var out []follower.Reader
		for i, f := range all {
			// What is known of others' confirmations is a second old.
			age := max(0, clock.Now()-f.Snapshot().ConfirmedAt-timer.Second)
			out = append(out, follower.Reader{Name: hostName(i), Address: hostName(i), Age: age})
		}
		return out
	}
	for i := range hosts {
		end := net.Host(hostName(i), messenger.Peer{Name: hostName(i)})
		d := &delays{random: rand.New(rand.NewPCG(seed, uint64(i+2))), most: 100 + timer.Millis(random.IntN(300))}
		f := follower.New(follower.Options{
			Ledger: slowLedger{Ledger: ledger, delays: d}, Decoder: decoder{}, Clock: clock, Logger: zap.NewNop(),
			Relay: &follower.Relay{Self: hostName(i), Caller: slowCaller{Caller: end, delays: d}, Candidates: candidates},
		})
		defer f.Close()
		f.Serve(end)
		var revision uint64
		f.Notify(func(s cataloger.Snapshot) {
			mu.Lock()
			defer mu.Unlock()
			if s.Revision < revision {
				t.Errorf("host %d: revision %d after %d", i, s.Revision, revision)
			}
			revision = s.Revision
			if next := int(s.Config.Version); next < len(accepted) && accepted[next] < s.ConfirmedAt {
				t.Errorf("host %d: version %d confirmed %d ms after the next one was accepted", i, next, s.ConfirmedAt-accepted[next])
			}
		})
		all = append(all, f)
	}
	close(started)
	for v := range versions {
		pass(timer.Millis(random.IntN(300)))
		mu.Lock()
		set(v + 1)
		accepted = append(accepted, clock.Now())
		mu.Unlock()
	}
	// Changes are to be in force within 17 s.
	pass(17 * timer.Second)
	for i, f := range all {
		require.EqualValues(t, versions, f.Snapshot().Config.Version, "host %d", i)
	}
}
