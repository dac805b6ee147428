package controller

import (
	"context"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics has the metrics of the protocol on this host.
type metrics struct {
	calls        metric.Int64Counter
	registration metric.Registration
	accepted     atomic.Int64
	settled      atomic.Int64
}

func newMetrics(m metric.Meter, c *Controller) (*metrics, error) {
	out := &metrics{}
	calls, err := m.Int64Counter("jackdawgate.control.store.calls",
		metric.WithDescription("Calls of the store by the control goroutine, by kind."))
	if err != nil {
		return nil, eris.Wrap(err, "create control metrics")
	}
	out.calls = calls
	gauges := make([]metric.Int64ObservableGauge, 0, len(gaugeSpecs))
	instruments := make([]metric.Observable, 0, len(gaugeSpecs))
	for _, g := range gaugeSpecs {
		gauge, err := m.Int64ObservableGauge(g.name, metric.WithDescription(g.description))
		if err != nil {
			return nil, eris.Wrap(err, "create control metrics")
		}
		gauges = append(gauges, gauge)
		instruments = append(instruments, gauge)
	}
	out.registration, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for i, v := range out.values(c) {
			o.ObserveInt64(gauges[i], v)
		}
		return nil
	}, instruments...)
	return out, eris.Wrap(err, "create control metrics")
}

// gaugeSpecs has the names and descriptions of the gauges, in the order in which
// metrics.values returns their values.
var gaugeSpecs = []struct{ name, description string }{
	{"jackdawgate.control.epoch", "Epoch of the record in force."},
	{"jackdawgate.control.version", "Version of the record in force."},
	{"jackdawgate.control.members", "Members of the record in force."},
	{"jackdawgate.control.permission.left", "Milliseconds left of the permission to act."},
	{"jackdawgate.control.accepted", "Newest version known to be accepted."},
	{"jackdawgate.control.settled", "Newest epoch before which no permission is left."},
}

func (m *metrics) values(c *Controller) []int64 {
	s := c.View()
	left := max(0, s.PermittedUntil-c.options.Clock.Now())
	return []int64{
		int64(s.Record.Epoch), int64(s.Record.Version), int64(len(s.Record.Members)),
		int64(left), m.accepted.Load(), m.settled.Load(),
	}
}

// update stores the accepted version and the settled epoch of s. The control
// goroutine calls it on each publication.
func (m *metrics) update(s coordinator.State) {
	m.accepted.Store(int64(s.Accepted()))
	m.settled.Store(int64(s.Settled()))
}

func (m *metrics) storeCall(kind string) {
	m.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *metrics) close() error { return m.registration.Unregister() }
