package forwarder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics records the durations of calls by outcome.
type metrics struct{ calls metric.Float64Histogram }

// newMetrics registers the metrics with m. If m is nil, nothing is recorded.
func newMetrics(m metric.Meter) (metrics, error) {
	if m == nil {
		m = noop.Meter{}
	}
	calls, err := m.Float64Histogram("jackdawgate.server.call.duration",
		metric.WithUnit("ms"),
		metric.WithDescription("Time from a call's arrival to its outcome."),
		metric.WithExplicitBucketBoundaries(1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 60000))
	return metrics{calls: calls}, eris.Wrap(err, "make histogram")
}

func (m metrics) recordCall(duration time.Duration, outcome string) {
	m.calls.Record(context.Background(), float64(duration.Microseconds())/1000,
		metric.WithAttributes(attribute.String("outcome", outcome)))
}
