// Package throttler keeps the requests that all hosts together send to a backend server
// within the rate that the server names in its answers.
//
// A server in need names a limit in the head of each answer. The host that receives it
// tells the others in its digests, and all of them count the requests that they send there
// (rationer). Nobody decides for the others, and the store is not asked.
//
// Which of two words of a server is the newer one cannot be told from when they arrive:
// answers overtake one another, and reports are late. So each word has a version, and a
// request notes the version that its host knows when it is sent (Mark). Its answer is
// newer than that version. Of words whose order is unknown, the lower limit holds.
//
// A limit is lowered by one answer, and raised or ended only by two: a single answer that
// lacks the word, or names a high one, frees no server that asked for less. After the first
// of the two, one request is sent at once to get the second.
//
// A server may also refuse a request and say when to come back. Hosts keep away from it until
// then, all of them, since the host that heard it tells the others (Pause).
//
// The state is bounded by the number of servers that say such things, and a host without
// such servers reports nothing.
package throttler

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// MinRate is the lowest rate that is kept, in requests a second. A server that
	// takes none gets that, so that it is noticed when it takes requests again.
	MinRate = 0.1
	// maxRate is the highest rate that counts as a limit, in requests a second.
	maxRate = 1e6
	// minBurst and burstPeriod determine how many requests may be saved up: what the rate
	// gives in burstPeriod, in seconds, besides the next request, and minBurst at least.
	minBurst    = 2.0
	burstPeriod = 0.25
	// endedRetention is how long a limit that ended is remembered, so that late reports of
	// it are recognized.
	endedRetention = 5 * timer.Second
	// maxEntries bounds the number of limits that are known.
	maxEntries = 16384
)

// Mark identifies what a host knew of a server's limit when it sent a request.
type Mark uint32

// Throttler keeps the limits of servers. It is safe for concurrent use.
type Throttler struct {
	clock  timer.Clock
	logger *zap.Logger
	// counts holds the tokens of the limits in force, by entry.key.
	counts *rationer.Rationer
	// known is the number of entries. While it is zero, nothing is looked up.
	known atomic.Int64
	// refused counts the calls that limits held back.
	refused atomic.Uint64

	mu      sync.Mutex
	entries map[cataloger.Incarnation]*entry
	// reported holds the entries that changed, or of which this host took tokens, lately.
	reported   map[*entry]struct{}
	rotation   rotation
	unreadable lastLogged
}

// entry is what is known of the limit of one incarnation of a server.
type entry struct {
	server cataloger.Incarnation
	// key identifies the limit's tokens.
	key  string
	word word
	// changedAt is when this host took over the word, heardAt when an answer to this
	// host last confirmed it.
	changedAt, heardAt timer.Millis
	// confirm is set if this host sends one request at once, to confirm a raised limit.
	confirm bool
	// pausedUntil is when the server takes requests again after it refused one, pausedHere
	// whether it said so to this host.
	pausedUntil timer.Millis
	pausedHere  bool
}

// word is what a server said of its limit.
type word struct {
	// rate is in requests a second; unlimited if the server names no limit any more.
	rate float64
	// raised is a higher rate that one answer named, or unlimited; zero if there is none.
	raised float64
	// version grows with each change.
	version uint32
}

// paused returns how much longer the server takes no requests.
func (e *entry) paused(now timer.Millis) timer.Millis { return max(0, e.pausedUntil-now) }

// unlimited is the rate of a server without a limit.
const unlimited = -1

// ended reports whether the server names no limit any more.
func (w word) ended() bool { return w.rate == unlimited }

// New returns a Throttler that knows no limits.
func New(c timer.Clock, l *zap.Logger) *Throttler {
	return &Throttler{clock: c, logger: l, counts: rationer.New(c), entries: make(map[cataloger.Incarnation]*entry), reported: make(map[*entry]struct{})}
}

// SetHosts sets the other hosts that send requests to servers, and the place of this host
// among those that take turns.
func (t *Throttler) SetHosts(peers []rationer.Peer, o rationer.Order) {
	t.counts.SetPeers(peers)
	t.counts.SetOrder(o)
}

// SendingHosts returns the number of hosts that send callers' requests to servers, as far as
// this host hears them; at least 1.
func (t *Throttler) SendingHosts() int { return max(1, t.counts.Order().Hosts) }

// Mark returns what is known of the limit of a server, for a request that is about to be
// sent to it.
func (t *Throttler) Mark(v cataloger.Incarnation) Mark {
	if t.known.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[v]; ok {
		return Mark(e.word.version)
	}
	return 0
}

// limit returns the limit in force, as the rationer keeps it.
func (e *entry) limit() rationer.Limit {
	rate := min(max(e.word.rate, MinRate), maxRate)
	return rationer.Limit{Rate: rate, Burst: max(minBurst, 1+rate*burstPeriod), Turns: true}
}

// entry returns the entry of a server, which it adds if there is none and room for it.
// t.mu must be held.
func (t *Throttler) entry(v cataloger.Incarnation) *entry {
	if e, ok := t.entries[v]; ok {
		return e
	}
	if len(t.entries) >= maxEntries {
		return nil
	}
	e := &entry{server: v, key: v.ID + "@" + strconv.FormatInt(v.StartedAt, 10), word: word{rate: unlimited}}
	t.entries[v], t.rotation.order = e, nil
	t.known.Store(int64(len(t.entries)))
	return e
}

// drop removes an entry. t.mu must be held.
func (t *Throttler) drop(e *entry) {
	t.counts.Forget(e.key)
	delete(t.entries, e.server)
	delete(t.reported, e)
	t.rotation.order = nil
	t.known.Store(int64(len(t.entries)))
}

// change replaces the word of an entry. heardHere is set if an answer to this host changed
// it. t.mu must be held.
func (t *Throttler) change(e *entry, w word, heardHere bool) {
	now := t.clock.Now()
	if w.rate != e.word.rate {
		t.logger.Info("server's limit changed", zap.String("server", e.server.ID), zap.Int64("started-at", e.server.StartedAt),
			zap.Float64("limit", w.rate), zap.Float64("before", e.word.rate), zap.Uint32("version", w.version), zap.Bool("heard-here", heardHere))
	}
	e.word, e.changedAt, e.confirm = w, now, heardHere && w.raised != 0
	t.reported[e] = struct{}{}
	if heardHere {
		e.heardAt = now
	}
	if w.ended() {
		t.counts.Forget(e.key)
		return
	}
	// Tokens are counted from now on.
	t.counts.Peek(rationer.Claim{Key: e.key, Limit: e.limit()})
}

// Retain drops the limits of the servers for which known returns false, and those that
// ended a while ago.
func (t *Throttler) Retain(known func(v cataloger.Incarnation) bool) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for v, e := range t.entries {
		if !known(v) || (e.word.ended() && now-e.changedAt > endedRetention && now >= e.pausedUntil) {
			t.drop(e)
		}
	}
}

// InForce returns the number of limits in force.
func (t *Throttler) InForce() int {
	if t.known.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if !e.word.ended() {
			n++
		}
	}
	return n
}
