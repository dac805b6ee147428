package storer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Defaults of CountedOptions.
const (
	DefaultCallsPerSecond = 20.0
	DefaultCallBurst      = 20
	DefaultBackoffBase    = 50 * timer.Millis(1)
	DefaultBackoffLimit   = 2 * timer.Second
)

// CountedOptions configure a Counted. Zero fields take their defaults.
type CountedOptions struct {
	// CallsPerSecond is this host's rate limit for calls. A watch counts as one call,
	// however long it waits.
	CallsPerSecond float64
	// CallBurst is how many calls may be made at once after a period without calls.
	CallBurst int
	// BackoffBase is the upper bound of the pause after a first error. The bound
	// doubles with each further error, up to BackoffLimit. The pause is drawn
	// uniformly between zero and the bound.
	BackoffBase  timer.Millis
	BackoffLimit timer.Millis
	// Seed makes the pauses reproducible; zero means a random seed.
	Seed uint64
}

func (o CountedOptions) withDefaults() CountedOptions {
	if o.CallsPerSecond <= 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.CallBurst <= 0 {
		o.CallBurst = DefaultCallBurst
	}
	if o.BackoffBase <= 0 {
		o.BackoffBase = DefaultBackoffBase
	}
	if o.BackoffLimit <= 0 {
		o.BackoffLimit = DefaultBackoffLimit
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// Counted is a Store that passes calls to another Store, counts them by kind, limits
// their rate and backs off after errors. A call that waits for the rate limit or the
// back-off fails when its context ends; it is then not passed on.
type Counted struct {
	inner   Store
	options CountedOptions
	clock   timer.Clock
	calls   metric.Int64Counter

	mu sync.Mutex
	// tokens is the level of the token bucket. It is negative while callers wait for
	// tokens that they have already taken.
	tokens float64
	// refilledAt is when tokens was last updated.
	refilledAt timer.Millis
	// failures counts the errors since the last success.
	failures int
	// pausedUntil is the end of the pause after an error.
	pausedUntil timer.Millis
	random      *rand.Rand
}

// NewCounted returns a Counted that passes calls to inner. Its counter is named
// jackdawgate.store.calls and has the attributes call and result.
func NewCounted(inner Store, m metric.Meter, o CountedOptions) (*Counted, error) {
	calls, err := m.Int64Counter("jackdawgate.store.calls",
		metric.WithDescription("Calls to the platform's key-value service."))
	if err != nil {
		return nil, eris.Wrap(err, "create store call counter")
	}
	o = o.withDefaults()
	return &Counted{
		inner:   inner,
		options: o,
		clock:   timer.System(),
		calls:   calls,
		tokens:  float64(o.CallBurst),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
	}, nil
}

// Get implements Store.
func (c *Counted) Get(ctx context.Context, key string) (Value, error) {
	return counted(ctx, c, "get", key, func() (Value, error) { return c.inner.Get(ctx, key) })
}

// CompareAndSwap implements Store.
func (c *Counted) CompareAndSwap(ctx context.Context, key string, data []byte, old Version) (bool, error) {
	return counted(ctx, c, "compare-and-swap", key, func() (bool, error) {
		return c.inner.CompareAndSwap(ctx, key, data, old)
	})
}

// Delete implements Store.
func (c *Counted) Delete(ctx context.Context, key string, old Version) (bool, error) {
	return counted(ctx, c, "delete", key, func() (bool, error) { return c.inner.Delete(ctx, key, old) })
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, key string, old Version, wait timer.Millis) (Value, error) {
	return counted(ctx, c, "watch", key, func() (Value, error) { return c.inner.Watch(ctx, key, old, wait) })
}

// List implements Store.
func (c *Counted) List(ctx context.Context, prefix string) ([]string, error) {
	return counted(ctx, c, "list", prefix, func() ([]string, error) { return c.inner.List(ctx, prefix) })
}

// Hosts implements Store.
func (c *Counted) Hosts(ctx context.Context) ([]Host, error) {
	return counted(ctx, c, "hosts", "", func() ([]Host, error) { return c.inner.Hosts(ctx) })
}

// counted makes one call when the rate limit and the back-off allow it.
func counted[T any](ctx context.Context, c *Counted, call, key string, do func() (T, error)) (T, error) {
	if err := c.admit(ctx); err != nil {
		var zero T
		return zero, &UnavailableError{Call: call, Key: key, Err: err}
	}
	v, err := do()
	c.record(ctx, call, err)
	return v, err
}

// admit waits for the rate limit and for the pause after an error.
func (c *Counted) admit(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	wait := c.reserve()
	for wait > 0 {
		if err := pause(ctx, wait, nil); err != nil {
			c.refund()
			return err
		}
		wait = c.remainingPause()
	}
	return nil
}

// reserve takes a token and returns how long the caller must wait before it uses it.
func (c *Counted) reserve() timer.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	perMilli := c.options.CallsPerSecond / float64(timer.Second)
	c.tokens = min(c.tokens+float64(now-c.refilledAt)*perMilli, float64(c.options.CallBurst))
	c.refilledAt = now
	c.tokens--
	var wait timer.Millis
	if c.tokens < 0 {
		wait = timer.Millis(-c.tokens/perMilli) + 1
	}
	return max(wait, c.pausedUntil-now)
}

// refund returns the token of a call that was not made.
func (c *Counted) refund() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
}

// remainingPause returns the rest of the pause after an error; it is not positive once
// the pause is over.
func (c *Counted) remainingPause() timer.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pausedUntil - c.clock.Now()
}

// record counts a call and sets the pause that follows from its result. A success ends
// the back-off. Calls that were cancelled leave it as it is.
func (c *Counted) record(ctx context.Context, call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	c.calls.Add(context.WithoutCancel(ctx), 1,
		metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
	var unavailable *UnavailableError
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.failures, c.pausedUntil = 0, 0
	case errors.Is(err, context.Canceled):
	case errors.As(err, &unavailable):
		c.failures++
		c.pausedUntil = c.clock.Now() + c.drawPause()
	}
}

// drawPause draws the pause after c.failures consecutive errors. The caller holds c.mu.
func (c *Counted) drawPause() timer.Millis {
	bound := c.options.BackoffBase
	for i := 1; i < c.failures && bound < c.options.BackoffLimit; i++ {
		bound *= 2
	}
	return timer.Millis(c.random.Int64N(int64(min(bound, c.options.BackoffLimit)) + 1))
}

var (
	_ Store = (*Counted)(nil)
	_ Store = (*Memory)(nil)
)
