package dispatcher

import (
	"context"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics counts calls by outcome, retries and fallback calls.
type metrics struct {
	calls         metric.Int64Counter
	retries       metric.Int64Counter
	fallbackCalls metric.Int64Counter
}

func newMetrics(m metric.Meter) (metrics, error) {
	if m == nil {
		m = noop.Meter{}
	}
	calls, err := m.Int64Counter("jackdawgate.dispatcher.calls",
		metric.WithDescription("Calls that this host took in, by outcome."))
	if err != nil {
		return metrics{}, eris.Wrap(err, "create counter")
	}
	retries, err := m.Int64Counter("jackdawgate.dispatcher.retries",
		metric.WithDescription("Further attempts of calls."))
	if err != nil {
		return metrics{}, eris.Wrap(err, "create counter")
	}
	fallbackCalls, err := m.Int64Counter("jackdawgate.dispatcher.direct-calls",
		metric.WithDescription("Calls made without a keeper host, because there was none."))
	if err != nil {
		return metrics{}, eris.Wrap(err, "create counter")
	}
	return metrics{calls: calls, retries: retries, fallbackCalls: fallbackCalls}, nil
}

func (m metrics) ended(ctx context.Context, o requester.Outcome) {
	m.calls.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", requester.OutcomeName(o))))
}
