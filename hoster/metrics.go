package hoster

import (
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"

	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// metricsPath is the URL path of the metrics.
const metricsPath = "/metrics"

// serveMetrics serves the host's metrics, if the settings name an address for them.
func (b *base) serveMetrics() error {
	if b.settings.Listen.Metrics == "" || b.platform.Measurer == nil {
		return nil
	}
	err := b.platform.Measurer.Observe(measurer.Callbacks{
		ConfirmationAge:  b.age,
		KnownServers:     func() int { return len(b.follower.Snapshot().Servers) },
		ReachableHosts:   b.gossiper.Hosts,
		QuarantinedCalls: func() int { return len(b.follower.Snapshot().Quarantined) },
		LimitedServers:   b.throttler.InForce,
		PacedServers:     b.comparer.Paces,
		HeldBackCalls:    b.throttler.Refused,
		ColdServers:      b.coldServers,
		Evacuations:      func() []string { return slices.Collect(maps.Keys(b.follower.Snapshot().Evacuated)) },
		OverShareCalls:   b.apportioner.Refused,
		Dials:            b.transporter.Dials,
		DroppedLines:     b.platform.DroppedLines,
		BudgetBytes:      b.budget.Bodies.InUse,
		OpenConnections:  b.budget.Connections.Callers().Open,
	})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", b.settings.Listen.Metrics)
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	l = b.budget.Connections.Others().Listener(l, refusalResponse)
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, b.platform.Measurer)
	b.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout.Duration(), IdleTimeout: defaultIdleTimeout.Duration()}
	go func() {
		if err := b.metrics.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			b.logger.Error("metrics server stopped", zap.Error(err))
		}
	}()
	return nil
}

// coldServers returns the number of servers that are cold now.
func (b *base) coldServers() int {
	n, now := 0, b.clock.Now()
	for _, v := range b.follower.Snapshot().Servers {
		if v.Cold.Contains(now) {
			n++
		}
	}
	return n
}
