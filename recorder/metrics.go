package recorder

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics are the instruments of a Recorder.
type metrics struct {
	entries metric.Int64Counter
	refused metric.Int64Counter
	retries metric.Int64Counter
}

// newMetrics creates the instruments. buffered returns the number of entries that
// wait for a batch.
func newMetrics(m metric.Meter, buffered func() int64) (metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("recorder")
	}
	var out metrics
	for _, x := range []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&out.entries, "jackdawgate.usage.entries", "Usage entries that are on all their holders"},
		{&out.refused, "jackdawgate.usage.refused", "Usage entries that were not taken, because too many wait"},
		{&out.retries, "jackdawgate.usage.retries", "Attempts to store usage that failed and were repeated"},
	} {
		c, err := m.Int64Counter(x.name, metric.WithDescription(x.description))
		if err != nil {
			return out, eris.Wrapf(err, "make counter %s", x.name)
		}
		*x.counter = c
	}
	_, err := m.Int64ObservableGauge("jackdawgate.usage.waiting",
		metric.WithDescription("Usage entries that a sudden death would lose"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(buffered())
			return nil
		}))
	return out, eris.Wrap(err, "make gauge")
}

func addCount(c metric.Int64Counter, n int64) { c.Add(context.Background(), n) }
