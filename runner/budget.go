package runner

import (
	"context"
	"runtime/debug"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// memoryShare is the part of a host's memory that is set as the memory limit of the Go
// runtime, near which the garbage collector runs more often.
const memoryShare = 0.6

// makeBudget makes the budget for what the process holds for others, unless the hosts of the
// process share one, and its metrics.
func (h *Host) makeBudget() error {
	refusals, err := h.meters.meter.Int64Counter("jackdawgate.budget.refusals")
	if err != nil {
		return eris.Wrap(err, "make counter")
	}
	if h.budget == nil {
		s := h.settings
		if s.Host.MemoryMB > 0 {
			debug.SetMemoryLimit(int64(float64(s.Host.MemoryMB) * memoryShare * (1 << 20)))
		}
		r := holder.NewReporter(h.logger, func(c holder.Cause) {
			refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", string(c))))
		})
		h.budget = holder.NewBudget(holder.Resources{MemoryMB: s.Host.MemoryMB, Descriptors: s.Host.Descriptors, Connections: s.Callers.Connections}, h.clock, r)
	}
	for name, read := range map[string]func() int64{
		"jackdawgate.budget.bytes": h.budget.Bodies.InUse,
		"jackdawgate.connections":  func() int64 { return int64(h.budget.Connections.Callers().Open()) },
	} {
		_, err := h.meters.meter.Int64ObservableGauge(name, metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
		if err != nil {
			return eris.Wrap(err, "make gauge")
		}
	}
	return nil
}
