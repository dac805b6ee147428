// Package bootstrapper takes over the levels of the workspaces' buckets from hosts that
// have kept running, on a host that has just started, so that it does not refuse
// requests that are within their quota.
//
// Levels are lower bounds, so the host may request them from any other hosts in any
// order, and late replies do no harm. A host is warm when it has taken over levels from a
// warm host or has run for the window of quotas. When enough hosts reply and none of them
// is warm, all hosts of the fleet were restarted (cold start). Its hosts then start once
// with an advance, a share of the tolerance of quotas. From then on they count as warm,
// and hosts that start later take over their levels.
package bootstrapper

import (
	"context"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// methodLevels is the method that returns the levels of a host.
const methodLevels messenger.Method = "inheritor/levels"

const (
	// wantedReplies is the number of replies from other hosts after which Run returns.
	wantedReplies = 3
	// callTimeout bounds one call. A later reply would be less useful, since levels
	// become stale.
	callTimeout timer.Millis = 250
	// retryPause is the pause before further hosts are called. No more hosts are called
	// once runTimeout has passed since the start.
	retryPause timer.Millis = 50
	runTimeout              = 2 * timer.Second
)

// Options are the settings of a Bootstrapper.
type Options struct {
	Rationer *rationer.Rationer
	Caller   messenger.Caller
	// Hosts returns the addresses of the other hosts, starting with those that are most
	// likely to have kept running.
	Hosts func() []string
	// Tolerance is the tolerance of quotas.
	Tolerance rationer.Tolerance
	Clock     timer.Clock
	Logger    *zap.Logger
}

// Bootstrapper takes over levels from other hosts and serves those of its own host. It is
// safe for concurrent use.
type Bootstrapper struct {
	options Options
	started timer.Millis

	mu sync.Mutex
	// warm is set by levels from a warm host or by an advance.
	warm bool
	// replied holds the addresses of the hosts that replied.
	replied map[string]bool
}

// New returns the Bootstrapper of a host that starts now.
func New(o Options) *Bootstrapper {
	return &Bootstrapper{options: o, started: o.Clock.Now(), replied: make(map[string]bool)}
}

// reply is the reply to methodLevels.
type reply struct {
	_      struct{} `cbor:",toarray"`
	Warm   bool
	Levels map[string]float64
}

// Serve registers the handler that returns the levels of this host.
func (h *Bootstrapper) Serve(to messenger.Registry) {
	to.Handle(methodLevels, func(_ context.Context, _ messenger.Peer, _ []byte, send func([]byte) error) error {
		frame, err := cbor.Marshal(reply{Warm: h.isWarm(), Levels: h.options.Rationer.Levels()})
		if err != nil {
			return eris.Wrap(err, "encode levels")
		}
		return send(frame)
	})
}

// isWarm reports whether other hosts can rely on the levels of this host.
func (h *Bootstrapper) isWarm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.warm || h.options.Clock.Now()-h.started >= h.options.Tolerance.Window
}

// Run requests levels from other hosts until enough have replied, runTimeout has passed
// or ctx is done.
func (h *Bootstrapper) Run(ctx context.Context) {
	tried := make(map[string]int)
	for {
		h.fetchNext(ctx, tried)
		if h.enough() || h.options.Clock.Now()-h.started >= runTimeout || !timer.Sleep(ctx, retryPause) {
			return
		}
	}
}

// enough reports whether enough hosts have replied. If they have and none of them is warm,
// it grants this host the advance of a cold start.
func (h *Bootstrapper) enough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.replied) < wantedReplies {
		return false
	}
	if !h.warm {
		h.options.Rationer.Advance(h.options.Tolerance)
		h.options.Logger.Info("no host kept running; quotas start with an advance")
		h.warm = true
	}
	return true
}

// fetchNext requests levels from as many hosts as replies are still missing, and counts
// the attempts in tried.
func (h *Bootstrapper) fetchNext(ctx context.Context, tried map[string]int) {
	var calls sync.WaitGroup
	for _, address := range h.nextHosts(tried) {
		tried[address]++
		calls.Go(func() { h.inherit(ctx, address) })
	}
	calls.Wait()
}

// nextHosts returns the hosts to call next: hosts that have not replied, those that were
// tried least often first.
func (h *Bootstrapper) nextHosts(tried map[string]int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(h.options.Hosts()), func(a string) bool { return h.replied[a] })
	slices.SortStableFunc(list, func(a, b string) int { return tried[a] - tried[b] })
	return list[:min(len(list), wantedReplies-len(h.replied))]
}

// inherit fetches the levels of one host and takes them over.
func (h *Bootstrapper) inherit(ctx context.Context, address string) {
	a, err := fetchLevels(ctx, h.options.Caller, address)
	if err != nil {
		h.options.Logger.Info("fetch levels from host", zap.String("address", address), zap.Error(err))
		return
	}
	h.options.Rationer.Inherit(a.Levels)
	h.options.Logger.Info("levels inherited", zap.String("address", address), zap.Int("workspaces", len(a.Levels)), zap.Bool("memory", a.Warm))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replied[address] = true
	h.warm = h.warm || a.Warm
}

// fetchLevels fetches the levels of the host at address.
func fetchLevels(ctx context.Context, c messenger.Caller, address string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var a reply
	err := c.Call(ctx, address, methodLevels, nil, func(frame []byte) error { return cbor.Unmarshal(frame, &a) })
	return a, err
}
