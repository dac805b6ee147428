package dispatcher

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// retryBudget limits retries to a share of the calls, so that the retries do not add
// much load to a failing fleet. It is a token bucket that calls fill and retries
// drain. It starts full.
type retryBudget struct {
	share, burst float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share, burst float64) *retryBudget {
	return &retryBudget{share: share, burst: burst, tokens: burst}
}

// recordCall adds the share of one call to the bucket.
func (b *retryBudget) recordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share)
}

// take takes one retry and reports whether one was available.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// tieBreak returns a key by which servers are ordered differently for each call.
func tieBreak(id, server string) uint64 {
	return xxhash.Sum64String(id + "\x00" + server)
}
