// Package inheritor lets a host that has just started take over the levels of
// the workspaces' buckets from hosts that lived on, so that it does not refuse
// requests which lie within their quota.
//
// Levels are lower bounds, so the host may ask any others, in any order, and
// answers that come late do no harm. A host has a memory when it took one over
// or has run for the time over which quotas count. When some hosts answer and
// none has a memory, the whole fleet has started anew; then its hosts begin with
// a part of the tolerance that quotas have, once: from then on they have a memory,
// and hosts that start later take it over.
package inheritor

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

// methodLevels asks a host for its levels.
const methodLevels messenger.Method = "inheritor/levels"

const (
	// wanted is how many hosts are asked for their levels.
	wanted = 3
	// callTimeout bounds one question: an older answer would be worth less.
	callTimeout timer.Millis = 250
	// pause is kept before further hosts are asked, patience is for how long
	// that goes on.
	pause    timer.Millis = 50
	patience              = 2 * timer.Second
)

// Options are the settings of an Inheritor.
type Options struct {
	Rationer *rationer.Rationer
	Caller   messenger.Caller
	// Hosts returns the addresses of the other hosts, those first that are likely
	// to have lived on.
	Hosts func() []string
	// Tolerance is that of quotas.
	Tolerance rationer.Tolerance
	Clock     timer.Clock
	Logger    *zap.Logger
}

// Inheritor takes levels over and tells them. It is safe for concurrent use.
type Inheritor struct {
	options Options
	started timer.Millis

	mu       sync.Mutex
	memory   bool
	answered map[string]bool
}

// New returns the Inheritor of a host that starts now.
func New(o Options) *Inheritor {
	return &Inheritor{options: o, started: o.Clock.Now(), answered: make(map[string]bool)}
}

// answer is what a host tells of its buckets.
type answer struct {
	_      struct{} `cbor:",toarray"`
	Memory bool
	Levels map[string]float64
}

// Serve registers the handler that tells the levels.
func (h *Inheritor) Serve(to messenger.Registry) {
	to.Handle(methodLevels, func(_ context.Context, _ messenger.Peer, _ []byte, send func([]byte) error) error {
		frame, err := cbor.Marshal(answer{Memory: h.hasMemory(), Levels: h.options.Rationer.Levels()})
		if err != nil {
			return eris.Wrap(err, "encode levels")
		}
		return send(frame)
	})
}

func (h *Inheritor) hasMemory() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.memory || h.options.Clock.Now()-h.started >= h.options.Tolerance.Window
}

// Run asks other hosts until enough have answered or it makes no sense any more.
func (h *Inheritor) Run(ctx context.Context) {
	tried := make(map[string]int)
	for {
		h.askNext(ctx, tried)
		if h.enough() || h.options.Clock.Now()-h.started >= patience || !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// enough says whether enough hosts have answered. If none of them has a memory,
// the host begins in advance.
func (h *Inheritor) enough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.answered) < wanted {
		return false
	}
	if !h.memory {
		h.options.Rationer.Advance(h.options.Tolerance)
		h.options.Logger.Info("no host lived on; quotas begin in advance")
		h.memory = true
	}
	return true
}

// askNext asks as many hosts as are still wanted.
func (h *Inheritor) askNext(ctx context.Context, tried map[string]int) {
	var calls sync.WaitGroup
	for _, address := range h.next(tried) {
		tried[address]++
		calls.Go(func() { h.take(ctx, address) })
	}
	calls.Wait()
}

// next picks hosts to ask of those that have not answered, those first that were
// tried least often.
func (h *Inheritor) next(tried map[string]int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(h.options.Hosts()), func(a string) bool { return h.answered[a] })
	slices.SortStableFunc(list, func(a, b string) int { return tried[a] - tried[b] })
	return list[:min(len(list), wanted-len(h.answered))]
}

// take asks one host and takes its levels over.
func (h *Inheritor) take(ctx context.Context, address string) {
	a, err := ask(ctx, h.options.Caller, address)
	if err != nil {
		h.options.Logger.Info("no levels from a host", zap.String("address", address), zap.Error(err))
		return
	}
	h.options.Rationer.Inherit(a.Levels)
	h.options.Logger.Info("levels inherited", zap.String("address", address), zap.Int("workspaces", len(a.Levels)), zap.Bool("memory", a.Memory))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered[address] = true
	h.memory = h.memory || a.Memory
}

// ask returns what the host at address tells.
func ask(ctx context.Context, c messenger.Caller, address string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var a answer
	err := c.Call(ctx, address, methodLevels, nil, func(frame []byte) error { return cbor.Unmarshal(frame, &a) })
	return a, err
}
