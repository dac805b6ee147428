package runner

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	prometheusexporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "github.com/jackdawgate/jackdawgate"

// flushTimeout bounds the shutdown of the metrics provider.
const flushTimeout = 5 * time.Second

// meters has the metrics of one host. Each host has its own registry, so that the
// metrics of several hosts in one process remain separate.
type meters struct {
	meter    metric.Meter
	provider *sdkmetric.MeterProvider
	serve    fasthttp.RequestHandler
}

// makeMeters makes the metrics provider and its Prometheus exporter.
func (h *Host) makeMeters() error {
	registry := prometheus.NewRegistry()
	exporter, err := prometheusexporter.New(prometheusexporter.WithRegisterer(registry))
	if err != nil {
		return eris.Wrap(err, "metrics exporter")
	}
	p := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	h.meters = &meters{
		meter:    p.Meter(meterName),
		provider: p,
		serve:    fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
	}
	return nil
}

// close flushes and stops the metrics provider.
func (m *meters) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return eris.Wrap(m.provider.Shutdown(ctx), "shut down metrics")
}
