package throttler

import (
	"strconv"
	"strings"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// unreadableLogInterval is the minimum time between two log lines on unreadable limits.
const unreadableLogInterval = timer.Second

// maxPause bounds the time for which requests are kept from a server that refused one.
const maxPause = 30 * timer.Second

// lastLogged is when a line was last logged, and how many were left out since.
type lastLogged struct {
	at   timer.Millis
	more int
}

// Heard applies what the head of an answer says of its server's limit. m is the Mark of the
// request; values are the values of the header that names the limit. whole is set for
// answers that name the limit if there is one: successes.
func (t *Throttler) Heard(v cataloger.Incarnation, m Mark, values []string, whole bool) {
	if len(values) == 0 && (!whole || t.known.Load() == 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(values) == 0 {
		t.heardNone(v, m)
		return
	}
	rate, ok := ParseRate(values)
	if !ok {
		t.logUnreadable(v, values)
		return
	}
	if e := t.entry(v); e != nil {
		t.apply(e, m, rate)
	}
}

// heardNone applies an answer without a limit. t.mu must be held.
func (t *Throttler) heardNone(v cataloger.Incarnation, m Mark) {
	if e, ok := t.entries[v]; ok {
		t.apply(e, m, unlimited)
	}
}

// Pause records that a server refused a request and takes others only after a time, at most
// maxPause.
func (t *Throttler) Pause(v cataloger.Incarnation, d timer.Millis) {
	if d <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entry(v); e != nil {
		t.pause(e, d, true)
	}
}

// pause keeps requests from a server for a time, unless that is done for longer already.
// t.mu must be held.
func (t *Throttler) pause(e *entry, d timer.Millis, heardHere bool) {
	now := t.clock.Now()
	until := now + min(d, maxPause)
	if until <= e.pausedUntil {
		return
	}
	e.pausedUntil, e.pausedHere, e.changedAt = until, heardHere, now
	t.reported[e] = struct{}{}
	t.logger.Info("server takes no requests for a while", zap.String("server", e.server.ID), zap.Int64("started-at", e.server.StartedAt),
		zap.Int64("for-ms", int64(until-now)), zap.Bool("heard-here", heardHere))
}

// ParseRetryAfter returns the time after which a server takes requests again, from the
// value of a Retry-After header in seconds, which may have a fraction. It returns 0 for
// everything else.
func ParseRetryAfter(value string) timer.Millis {
	seconds, ok := parseDecimal(strings.TrimSpace(value))
	if !ok {
		return 0
	}
	return timer.Millis(seconds * float64(timer.Second))
}

// apply applies the rate that an answer named, or unlimited. t.mu must be held.
func (t *Throttler) apply(e *entry, m Mark, rate float64) {
	w := e.word
	next := word{rate: w.rate, version: w.version + 1}
	switch {
	case rate == w.rate && w.raised == 0:
		e.heardAt = t.clock.Now()
		return
	case rate == w.rate || lower(rate, w.rate):
		next.rate = rate
	case !w.heardBefore(m):
		return
	case w.raised == 0:
		next.raised = rate
	default:
		next.rate = lowest(w.raised, rate)
		if lower(next.rate, rate) {
			next.raised = rate
		}
	}
	t.change(e, next, true)
}

// heardBefore reports whether the word was known when the request with the Mark was sent,
// apart from a raised rate that has not been confirmed.
func (w word) heardBefore(m Mark) bool {
	version := w.version
	if w.raised != 0 {
		version--
	}
	return uint32(m) >= version
}

// lower reports whether rate a is lower than rate b.
func lower(a, b float64) bool {
	return a != unlimited && (b == unlimited || a < b)
}

// lowest returns the lower one of two rates.
func lowest(a, b float64) float64 {
	if lower(b, a) {
		return b
	}
	return a
}

// logUnreadable logs a limit that cannot be read; it changes nothing. t.mu must be held.
func (t *Throttler) logUnreadable(v cataloger.Incarnation, values []string) {
	now := t.clock.Now()
	if t.unreadable.at != 0 && now-t.unreadable.at < unreadableLogInterval {
		t.unreadable.more++
		return
	}
	const maxLogged = 64
	text := strings.Join(values, ", ")
	t.logger.Warn("server's limit cannot be read", zap.String("server", v.ID), zap.Int64("started-at", v.StartedAt),
		zap.String("limit", text[:min(len(text), maxLogged)]), zap.Int("more", t.unreadable.more))
	t.unreadable = lastLogged{at: now}
}

// ParseRate returns the lowest of the rates that the values name, in requests a second. A
// value may list several, separated by commas. Values that are no finite decimal number
// from zero on are left out; ParseRate returns false if none is left.
func ParseRate(values []string) (float64, bool) {
	lowestRate, found := 0.0, false
	for _, v := range values {
		for text := range strings.SplitSeq(v, ",") {
			rate, ok := parseDecimal(strings.TrimSpace(text))
			if ok && (!found || rate < lowestRate) {
				lowestRate, found = rate, true
			}
		}
	}
	return lowestRate, found
}

// parseDecimal parses digits with an optional decimal point. Rates above maxRate count as
// maxRate.
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil && rate == 0 {
		return 0, false
	}
	return min(rate, maxRate), true
}
