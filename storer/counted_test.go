package storer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// advance lets d of synctest's fake time elapse.
func advance(d timer.Millis) {
	<-time.After(d.Duration())
}

func newCounted(t *testing.T, m *storer.Memory, o storer.CountedOptions) (*storer.Counted, *metric.ManualReader) {
	t.Helper()
	r := metric.NewManualReader()
	p := metric.NewMeterProvider(metric.WithReader(r))
	c, err := storer.NewCounted(m, p.Meter("test"), o)
	require.NoError(t, err)
	return c, r
}

// counts returns the number of calls by kind and result.
func counts(t *testing.T, r *metric.ManualReader) map[string]int64 {
	t.Helper()
	var all metricdata.ResourceMetrics
	require.NoError(t, r.Collect(context.Background(), &all))
	out := make(map[string]int64)
	for _, p := range all.ScopeMetrics[0].Metrics[0].Data.(metricdata.Sum[int64]).DataPoints {
		call, _ := p.Attributes.Value("call")
		result, _ := p.Attributes.Value("result")
		out[call.AsString()+" "+result.AsString()] = p.Value
	}
	return out
}

func TestCountedLimitsTheCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r := newCounted(t, storer.NewMemory(), storer.CountedOptions{CallsPerSecond: 10, CallBurst: 5})
		start := time.Now()
		for range 25 {
			_, err := c.Get(t.Context(), "k")
			require.NoError(t, err)
		}
		require.InDelta(t, 2*time.Second, time.Since(start), float64(50*time.Millisecond))
		require.Equal(t, map[string]int64{"get ok": 25}, counts(t, r))
	})
}

func TestCountedRefundsCancelledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, r := newCounted(t, storer.NewMemory(), storer.CountedOptions{CallsPerSecond: 1, CallBurst: 1})
		_, err := c.Get(t.Context(), "k")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = c.Get(ctx, "k")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		start := time.Now()
		_, err = c.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Less(t, time.Since(start), time.Second)
		require.Equal(t, map[string]int64{"get ok": 2}, counts(t, r))
	})
}

func TestCountedBacksOffDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storer.NewMemory()
		c, r := newCounted(t, m, storer.CountedOptions{CallsPerSecond: 1000, CallBurst: 1000, Seed: 1})
		m.SetFaults(storer.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			_, err := c.Get(ctx, "k")
			require.Error(t, err)
		}
		tried := counts(t, r)["get error"]
		require.Less(t, tried, int64(120), "pauses grow to a second on average")
		require.Greater(t, tried, int64(30))
		m.SetFaults(storer.Faults{})
		_, err := c.Get(t.Context(), "k")
		require.NoError(t, err)
		start := time.Now()
		_, err = c.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Zero(t, time.Since(start), "a success ends the pauses")
	})
}
