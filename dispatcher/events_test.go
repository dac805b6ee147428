package dispatcher_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// cacheEngine is a server that publishes cache events.
type cacheEngine struct {
	mu     sync.Mutex
	number int
	events []map[string]any
}

// publish adds an event for each block; block 0 stands for no block.
func (e *cacheEngine) publish(kind string, blocks ...uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range blocks {
		e.number++
		e.events = append(e.events, map[string]any{"number": e.number, "kind": kind, "block": fmt.Sprintf("%x", b)})
	}
}

// skipNumbers makes a gap of n events.
func (e *cacheEngine) skipNumbers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number += n
}

func (e *cacheEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number, e.events = 0, nil
}

func (e *cacheEngine) serve(_ int, c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var q fasthttp.Request
	for q.Read(r) == nil {
		body := []byte("{}")
		if string(q.URI().Path()) == "/cache-events" {
			body = e.after(q.URI().QueryArgs().GetUintOrZero("after"))
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

func (e *cacheEngine) after(n int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []map[string]any{}
	for _, x := range e.events {
		if x["number"].(int) > n {
			out = append(out, x)
		}
	}
	b, _ := json.Marshal(map[string]any{"events": out})
	return b
}

// testCacheEvents runs test with a fleet of hosts and one server, after the hosts
// have started to probe. probed waits until the newest events have been read.
func testCacheEvents(t *testing.T, hosts int, test func(f *fleet, e *cacheEngine, probed func())) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, "m1")
		e := &cacheEngine{}
		f.engine("m1", e.serve)
		for _, h := range f.hosts {
			h.Start()
		}
		test(f, e, func() {
			time.Sleep(2100 * time.Millisecond)
			synctest.Wait()
		})
	})
}

// cachedCount returns how many of the prefixes h has recorded as cached on m1.
func cachedCount(f *fleet, h *host, prefixes ...uint64) int {
	for _, o := range h.hints.Find(nil, prefixes, f.clock.Now()) {
		return o.Count
	}
	return 0
}

func TestCacheEventsBecomeHints(t *testing.T) {
	testCacheEvents(t, 1, func(f *fleet, e *cacheEngine, probed func()) {
		h := f.hosts["h0"]
		e.publish("stored", 1, 2)
		probed()
		require.Equal(t, 2, cachedCount(f, h, 1, 2, 3))
		e.publish("stored", 3)
		e.publish("evicted", 2, 3)
		probed()
		require.Equal(t, 1, cachedCount(f, h, 1, 2, 3), "the hints about evicted blocks are removed")
		e.publish("cleared", 0)
		e.publish("stored", 7)
		probed()
		require.Zero(t, cachedCount(f, h, 1))
		require.Equal(t, 1, cachedCount(f, h, 7), "stored after the cache was cleared")
	})
}

func TestGapsInCacheEvents(t *testing.T) {
	testCacheEvents(t, 1, func(f *fleet, e *cacheEngine, probed func()) {
		h := f.hosts["h0"]
		e.publish("stored", 1)
		e.skipNumbers(10)
		e.publish("stored", 2)
		probed()
		require.Equal(t, 2, cachedCount(f, h, 1, 2), "the hints remain after a small gap")
		e.skipNumbers(1000)
		e.publish("stored", 3)
		probed()
		require.Zero(t, cachedCount(f, h, 1, 2), "the hints are discarded after a large gap")
		require.Equal(t, 1, cachedCount(f, h, 3))

		e.publish("stored", 4)
		probed()
		e.skipNumbers(1)
		e.publish("stored", 3)
		probed()
		require.Zero(t, cachedCount(f, h, 4), "the lost event was that the cache was cleared")
		require.Equal(t, 1, cachedCount(f, h, 3))
	})
}

func TestServerRestartsWithAnEmptyCache(t *testing.T) {
	for name, others := range map[string][]uint64{
		"no events yet":            nil,
		"fewer events than before": {10},
		"more events than before":  {10, 11, 12, 13, 14},
	} {
		t.Run(name, func(t *testing.T) {
			testCacheEvents(t, 1, func(f *fleet, e *cacheEngine, probed func()) {
				e.publish("stored", 1, 2, 3)
				probed()
				require.Equal(t, 3, cachedCount(f, f.hosts["h0"], 1, 2, 3))
				e.restart()
				e.publish("stored", others...)
				probed()
				require.Zero(t, cachedCount(f, f.hosts["h0"], 1, 2, 3))
				require.Equal(t, len(others), cachedCount(f, f.hosts["h0"], others...))
				e.publish("stored", 20)
				probed()
				require.Equal(t, 1, cachedCount(f, f.hosts["h0"], 20))
			})
		})
	}
}

func TestTooManyCacheEventsAreSkipped(t *testing.T) {
	testCacheEvents(t, 1, func(f *fleet, e *cacheEngine, probed func()) {
		for b := range uint64(30_000) {
			e.publish("stored", 1<<40+b)
		}
		for range 3 {
			probed()
		}
		e.publish("stored", 1)
		probed()
		require.Equal(t, 1, cachedCount(f, f.hosts["h0"], 1))
	})
}

func TestOtherHostsGetBoundedHints(t *testing.T) {
	testCacheEvents(t, 2, func(f *fleet, e *cacheEngine, probed func()) {
		owner, other := f.owner("m1")
		e.publish("stored", 1<<60, 1<<60+1)
		probed()
		require.Equal(t, 2, cachedCount(f, other, 1<<60, 1<<60+1))
		e.restart()
		probed()
		require.Zero(t, cachedCount(f, other, 1<<60, 1<<60+1), "another host discards the hints about a restarted server")
		for b := range uint64(5000) {
			e.publish("stored", 1<<60+b)
		}
		probed()

		peer := f.network.Host("asker", messenger.Peer{Name: "asker"})
		sent, hints, replies := 0, 0, 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			err := peer.Call(context.Background(), owner.name, dispatcher.MethodServers, nil, func(b []byte) error {
				var r struct {
					Hint cbor.RawMessage `cbor:"2,keyasint"`
				}
				replies++
				if err := cbor.Unmarshal(b, &r); err != nil || r.Hint == nil {
					return err
				}
				hints++
				sent += len(r.Hint)
				return nil
			})
			require.NoError(t, err)
		}
		require.Equal(t, 1000, replies)
		require.Greater(t, hints, 50)
		require.LessOrEqual(t, sent, 10*512+256, "bytes in ten seconds")
	})
}

// TestEmulatedEngineEventsMatchItsBlocks uses the emulated engine, which publishes
// late and loses one event in ten.
func TestEmulatedEngineEventsMatchItsBlocks(t *testing.T) {
	f := newFleet(t, 2, "m1")
	l := fasthttputil.NewInmemoryListener()
	e := emulator.NewEngine(emulator.EngineOptions{Models: []string{"m"}, BaseStepMicros: 500})
	served := make(chan error, 1)
	go func() { served <- e.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, e.Close())
		require.NoError(t, <-served)
	})
	f.mu.Lock()
	f.engines["m1"] = &engine{name: "m1", listener: l}
	f.mu.Unlock()
	prompt := strings.Repeat("word", 400)
	r := chatRequest("r1", false)
	r.Body = []byte(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"` + prompt + `"}]}`)
	require.IsType(t, requester.Answered{}, f.hosts["h0"].Do(context.Background(), r, &recordedAnswer{}))
	blocks := emulator.PrefixBlocks("m", "user: "+prompt)
	require.Greater(t, len(blocks), 20)
	owner, other := f.owner("m1")
	owner.Start()
	other.Start()
	require.Eventually(t, func() bool {
		return cachedCount(f, owner, blocks...) >= len(blocks)-1 && cachedCount(f, other, blocks...) > 0
	}, 20*time.Second, 20*time.Millisecond)
}
