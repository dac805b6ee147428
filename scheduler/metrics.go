package scheduler

import (
	"context"

	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics are the instruments of a Scheduler.
type metrics struct {
	items   metric.Int64Counter
	retries metric.Int64Counter
	running metric.Int64UpDownCounter
	jobs    metric.Int64UpDownCounter
}

func newMetrics(m metric.Meter) (metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("scheduler")
	}
	var out metrics
	var err error
	if out.items, err = m.Int64Counter("jackdawgate.batch.items",
		metric.WithDescription("Items that ended, by result")); err != nil {
		return out, eris.Wrap(err, "make counter")
	}
	if out.retries, err = m.Int64Counter("jackdawgate.batch.retries",
		metric.WithDescription("Calls of items that ended without a result, by outcome")); err != nil {
		return out, eris.Wrap(err, "make counter")
	}
	if out.running, err = m.Int64UpDownCounter("jackdawgate.batch.running",
		metric.WithDescription("Items running for the jobs of this host")); err != nil {
		return out, eris.Wrap(err, "make counter")
	}
	out.jobs, err = m.Int64UpDownCounter("jackdawgate.batch.jobs",
		metric.WithDescription("Jobs that this host owns and that have not ended"))
	return out, eris.Wrap(err, "make counter")
}

// itemRecorded counts an item with a recorded result.
func (m metrics) itemRecorded(k tallier.Kind) {
	result := "done"
	if k == tallier.KindFailed {
		result = "failed"
	}
	m.items.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// retried counts a call that ended without a result.
func (m metrics) retried(outcome string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
