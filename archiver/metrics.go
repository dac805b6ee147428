package archiver

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics has the instruments of a Store.
type metrics struct {
	appends metric.Int64Counter
	bytes   metric.Int64Counter
	damage  metric.Int64Counter
	copies  metric.Int64Counter
}

// newMetrics creates the instruments with m. If m is nil, they record nothing.
func newMetrics(m metric.Meter) (metrics, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("archiver")
	}
	var out metrics
	for _, x := range []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&out.appends, "jackdawgate.archive.appends", "Appends to segments of this host"},
		{&out.bytes, "jackdawgate.archive.bytes", "Bytes of records appended here"},
		{&out.damage, "jackdawgate.archive.damage", "Records or segments that failed their checksum"},
		{&out.copies, "jackdawgate.archive.copies", "Segments copied here from other holders"},
	} {
		c, err := m.Int64Counter(x.name, metric.WithDescription(x.description))
		if err != nil {
			return out, eris.Wrapf(err, "make counter %s", x.name)
		}
		*x.counter = c
	}
	return out, nil
}

// add adds n to the counter c.
func add(c metric.Int64Counter, n int64) { c.Add(context.Background(), n) }
