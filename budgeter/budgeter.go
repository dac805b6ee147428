// Package budgeter bounds retries by a share of first attempts, for each
// workspace at each service.
//
// Pattern: retry budget. When a service is sick, each caller's call would be sent
// to several of its servers at the moment when they can bear it least. A retry
// takes a token; first attempts earn a part of one each. So however many calls
// fail, servers are sent no more than that share beyond what callers ask, and one
// workspace's failing calls spend no other's tokens.
//
// Hosts need not tell one another: each host's budget is a share of its own
// calls, so the budgets of all hosts add up to the same share of all calls. What
// a budget begins with is small, so that it hardly counts on many hosts.
//
// Weighed: one budget of all hosts, told by digests as quotas are (no tighter, and
// late when a service turns sick); a number of retries a second (has to grow with
// the fleet and with traffic).
package budgeter

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/defaulter"
)

// Key names a budget.
type Key struct{ Service, Workspace string }

// Options are the settings of a Budgeter. Zero fields take the defaults.
type Options struct {
	// Share is how many retries each first attempt earns; default 0.25.
	Share float64
	// Start is how many retries a budget begins with; default 3. It holds ten
	// times as many at most.
	Start float64
}

// holdsStarts is how many times Start a budget holds at most.
const holdsStarts = 10

// Budgeter is safe for concurrent use.
type Budgeter struct {
	options Options

	mu     sync.Mutex
	tokens map[Key]float64
}

// New returns a Budgeter.
func New(o Options) *Budgeter {
	defaulter.Set(&o.Share, 0.25)
	defaulter.Set(&o.Start, 3)
	return &Budgeter{options: o, tokens: make(map[Key]float64)}
}

// Earn notes a first attempt.
func (b *Budgeter) Earn(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[k] = min(b.left(k)+b.options.Share, holdsStarts*b.options.Start)
}

// Spend takes a retry from the budget, if one is left.
func (b *Budgeter) Spend(k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(k)
	if left < 1 {
		return false
	}
	b.tokens[k] = left - 1
	return true
}

// Keep drops the budgets for which known says no.
func (b *Budgeter) Keep(known func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.tokens {
		if !known(k) {
			delete(b.tokens, k)
		}
	}
}

func (b *Budgeter) left(k Key) float64 {
	if t, ok := b.tokens[k]; ok {
		return t
	}
	return b.options.Start
}
