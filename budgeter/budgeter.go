// Package budgeter limits the retries that hosts make themselves to a share of callers'
// calls, for each workspace at each service.
//
// It implements a retry budget. When a service is failing, each call would otherwise be
// sent to several of its servers at the moment when they can least bear it, which harms the
// callers of all workspaces. A retry spends one token, and each call earns a fraction of a
// token, whether it is a caller's first one or a repeat: a repeat is a call like any other and
// never spends one. So however many calls fail, servers receive at most that fraction more
// calls than callers make, and the failing calls of one workspace do not spend the tokens of
// another.
//
// Hosts do not exchange budgets. The budget of each host is a share of its own calls, so
// the budgets of all hosts add up to the same share of all calls. The initial balance is
// small, so that it matters little even with many hosts.
//
// Alternatives: one budget for all hosts, exchanged by digests like quotas, would not be
// tighter and would react late when a service starts to fail. A fixed number of retries
// a second would have to grow with the fleet and with traffic.
package budgeter

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/defaulter"
)

// Key identifies a budget.
type Key struct{ Service, Workspace string }

// Options are the settings of a Budgeter. Zero fields take the defaults.
type Options struct {
	// Share is the number of retries that each call earns; default 0.25.
	Share float64
	// Initial is the number of retries in a new budget; default 3. A budget holds at
	// most ten times as many.
	Initial float64
}

// maxPerInitial is the largest balance of a budget, as a multiple of Options.Initial.
const maxPerInitial = 10

// Budgeter holds the retry budgets of one host. It is safe for concurrent use.
type Budgeter struct {
	options Options

	mu     sync.Mutex
	tokens map[Key]float64
}

// New returns a Budgeter whose budgets all have their initial balance.
func New(o Options) *Budgeter {
	defaulter.Set(&o.Share, 0.25)
	defaulter.Set(&o.Initial, 3)
	return &Budgeter{options: o, tokens: make(map[Key]float64)}
}

// Earn credits the budget k for a call.
func (b *Budgeter) Earn(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[k] = min(b.balance(k)+b.options.Share, maxPerInitial*b.options.Initial)
}

// Spend takes a retry from the budget k and reports whether one was left.
func (b *Budgeter) Spend(k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(k)
	if balance < 1 {
		return false
	}
	b.tokens[k] = balance - 1
	return true
}

// Retain drops the budgets for which known returns false.
func (b *Budgeter) Retain(known func(Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.tokens {
		if !known(k) {
			delete(b.tokens, k)
		}
	}
}

// balance returns the number of retries that are left. The caller holds b.mu.
func (b *Budgeter) balance(k Key) float64 {
	if t, ok := b.tokens[k]; ok {
		return t
	}
	return b.options.Initial
}
