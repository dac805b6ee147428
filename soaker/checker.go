package soaker

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

// Tolerances of the checks, as the documentation allows them.
const (
	// quotaWindow is the window over which a quota is checked. quotaTolerance (a
	// fraction) and quotaSlack (requests) are what may be admitted beyond the quota.
	quotaWindow    = 5 * time.Second
	quotaTolerance = 0.1
	quotaSlack     = 20
	// maxLostAnswers is how many complete responses of servers may fail to reach
	// callers of undisturbed hosts.
	maxLostAnswers = 3
)

// checker checks the guarantees of the fleet against what callers and backend
// servers observe. It is safe for concurrent use.
type checker struct {
	mu         sync.Mutex
	violations []string
	runs       map[string][]standin.Run
	attempts   map[string]standin.Attempt
	// withdrawn maps each withdrawn key to the time by which the store had committed
	// the withdrawal.
	withdrawn map[string]time.Time
	// lostAnswers describes attempts whose caller did not get the complete response
	// that a server sent.
	lostAnswers []string
	// answered, refused and failed count attempts, for the report.
	answered, refused, failed int
}

func newChecker() *checker {
	return &checker{runs: make(map[string][]standin.Run), attempts: make(map[string]standin.Attempt), withdrawn: make(map[string]time.Time)}
}

// report records a violation of a guarantee.
func (c *checker) report(guarantee, format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(guarantee, format, arguments...)
}

// anyViolation reports whether any guarantee was violated.
func (c *checker) anyViolation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.violations) > 0
}

// reportLocked is report for callers that hold c.mu.
func (c *checker) reportLocked(guarantee, format string, arguments ...any) {
	c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, arguments...))
}

// observeRun records that a server started to run a request, or that it sent the
// complete response.
func (c *checker) observeRun(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Key {
		c.reportLocked("keys are never forwarded", "request %s at server %s", r.ID, r.Server)
	}
	if r.Complete {
		for i, o := range c.runs[r.ID] {
			if o.At.Equal(r.At) {
				c.runs[r.ID][i] = r
			}
		}
		return
	}
	c.runs[r.ID] = append(c.runs[r.ID], r)
	if a, ok := c.attempts[r.ID]; ok {
		c.checkRun(a, r)
	}
}

// checkRun checks a run of a recorded attempt. The caller holds c.mu.
func (c *checker) checkRun(a standin.Attempt, r standin.Run) {
	if at, ok := c.withdrawn[a.Key]; ok && r.At.Sub(at) > revokeBound {
		c.reportLocked("withdrawn keys are rejected within the bound", "request %s ran %v after its key was withdrawn", r.ID, r.At.Sub(at))
	}
	if !a.Ended.IsZero() && a.GuaranteesNotRun() {
		c.reportLocked("a request that was refused as not run does not run", "request %s was answered with status %d but runs at %s", r.ID, a.Status, r.Server)
	}
	if a.Route.Kind == standin.NonIdempotent.Kind || (a.Route.Kind == standin.Streaming.Kind && !a.Route.Resumable) {
		if n := len(c.runs[a.ID]); n > 1 {
			c.reportLocked("a request that is not idempotent runs at most once", "request %s ran %d times", a.ID, n)
		}
	}
}

// attemptStarted records an attempt that is about to be sent.
func (c *checker) attemptStarted(a standin.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.ID] = a
}

// attemptEnded records and checks an attempt and its response. keyInForce says that
// the key had been in force for longer than keySettleTime when the attempt was sent,
// and still is. undisturbed says that the host was not disturbed from hostSettleTime
// before the attempt on, and no backend server during the attempt.
func (c *checker) attemptEnded(a standin.Attempt, keyInForce, undisturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.ID] = a
	for _, r := range c.runs[a.ID] {
		c.checkRun(a, r)
	}
	switch {
	case errors.Is(a.Err, standin.ErrWrongResponse):
		c.reportLocked("responses are complete and unchanged", "request %s of path %s", a.ID, a.Path)
	case keyInForce && (a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound || a.Status == http.StatusForbidden):
		c.reportLocked("a request that every recent configuration allows is not denied", "request %s was answered with status %d by %s", a.ID, a.Status, a.Address)
	case a.Status == http.StatusServiceUnavailable && !a.HasRetryAfter:
		c.reportLocked("a refusal says when to retry", "request %s was answered with status %d", a.ID, a.Status)
	}
	c.count(a)
	if a.Status == 0 && undisturbed && a.Ended.Sub(a.Sent) < callTimeout && c.answeredInFull(a.ID) {
		c.lostAnswers = append(c.lostAnswers, fmt.Sprintf("%s at %s: %v", a.ID, a.Address, a.Err))
	}
}

func (c *checker) count(a standin.Attempt) {
	switch {
	case a.Status == http.StatusOK:
		c.answered++
	case a.GuaranteesNotRun():
		c.refused++
	default:
		c.failed++
	}
}

func (c *checker) answeredInFull(id string) bool {
	for _, r := range c.runs[id] {
		if r.Complete {
			return true
		}
	}
	return false
}

// hasRun reports whether a server has started to run a request.
func (c *checker) hasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[id]) > 0
}

// keyWithdrawn records the withdrawal of a key, after the store has confirmed it.
func (c *checker) keyWithdrawn(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[key] = time.Now()
}

// checkQuota checks that the online requests of a workspace that servers ran stayed
// within its quota in every window.
func (c *checker) checkQuota(workspace string, rate, burst float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times []time.Time
	for id, runs := range c.runs {
		if a, ok := c.attempts[id]; ok && a.Route.Kind != standin.Batch.Kind && runs[0].Workspace == workspace {
			times = append(times, runs[0].At)
		}
	}
	limit := (rate*quotaWindow.Seconds()+burst)*(1+quotaTolerance) + quotaSlack
	for _, from := range times {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Sub(from) < quotaWindow {
				n++
			}
		}
		if float64(n) > limit {
			c.reportLocked("quotas hold across all hosts", "%d requests of workspace %s ran within %v, at most %g may", n, workspace, quotaWindow, limit)
			return
		}
	}
}

// checkLostAnswers checks how many complete responses did not reach their callers.
func (c *checker) checkLostAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostAnswers) > maxLostAnswers {
		c.reportLocked("responses are delivered", "%d complete responses of servers were not: %v", len(c.lostAnswers), c.lostAnswers[:maxLostAnswers])
	}
}
