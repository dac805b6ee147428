// Package measurer implements the metrics of a host. Instruments lists all of them; the
// table of metrics in docs/OPERATIONS.md is generated from that list (Table).
package measurer

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	prometheusexporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Instrument describes one metric. Label is empty for a metric without a label.
type Instrument struct {
	Name, Kind, Label, Meaning string
}

// The names of all instruments.
const (
	requests         = "jackdawgate.requests"
	requestDuration  = "jackdawgate.request.duration"
	storeCalls       = "jackdawgate.store.calls"
	items            = "jackdawgate.items"
	confirmationAge  = "jackdawgate.confirmation.age"
	knownServers     = "jackdawgate.servers"
	reachableHosts   = "jackdawgate.hosts.heard"
	quarantinedCalls = "jackdawgate.calls.apart"
	serverLimits     = "jackdawgate.servers.limited"
	serverPaces      = "jackdawgate.servers.paced"
	heldBackCalls    = "jackdawgate.calls.limited"
	heldBackItems    = "jackdawgate.items.limited"
	coldServers      = "jackdawgate.servers.cold"
	evacuations      = "jackdawgate.evacuations"
	overShareCalls   = "jackdawgate.calls.overshare"
	notPlaced        = "jackdawgate.refusals.region"
	dials            = "jackdawgate.dials"
	droppedLines     = "jackdawgate.log.dropped"
	budgetRefusals   = "jackdawgate.budget.refusals"
	budgetBytes      = "jackdawgate.budget.bytes"
	openConnections  = "jackdawgate.connections"
)

// Instruments lists all metrics.
func Instruments() []Instrument {
	return []Instrument{
		{requests, "counter", "outcome", "Callers' requests that ended, by how: delivered, broken-off, left, or the status of a refusal."},
		{requestDuration, "histogram, ms", "outcome", "How long they took on this host."},
		{storeCalls, "counter", "call", "Calls to the platform's store, by kind; their answers do not matter."},
		{items, "counter", "outcome", "Runs of batch items that ended, by how: completed, dead, failed, evicted, stopped."},
		{confirmationAge, "gauge, ms", "", "How old this host's knowledge of the store is. Above 4,750 it admits no request with a key."},
		{knownServers, "gauge", "", "Backend servers that this host knows."},
		{reachableHosts, "gauge", "", "Other hosts that this host heard within the last second."},
		{quarantinedCalls, "gauge", "", "Calls under which servers ended, as the store has them, that are refused or tried by one host at a time."},
		{serverLimits, "gauge", "", "Backend servers that named a limit which is in force."},
		{serverPaces, "gauge", "", "Backend servers whose own pace is known to differ from the mean of their service."},
		{heldBackCalls, "counter", "", "Calls that were refused because the limits of the servers, or the shares of cold ones, left no room."},
		{heldBackItems, "gauge", "", "Batch items that could run now but for the limits of the servers or the shares of cold ones."},
		{coldServers, "gauge", "", "Backend servers that are cold, as they last stated, whether or not their service limits what they get."},
		{evacuations, "gauge", "data_centre", "1 for each evacuated data centre; none is listed without an evacuation."},
		{overShareCalls, "counter", "", "Calls that were refused because the servers had no free slot and the workspace was over its share."},
		{notPlaced, "counter", "kind", "Requests that were refused or broken off because their allowed regions had no place for them, by kind: call, job, read."},
		{dials, "counter", "", "Connections made to backend servers."},
		{droppedLines, "counter", "", "Log lines that were dropped."},
		{budgetRefusals, "counter", "cause", "Bodies and connections that the budget refused or shed: memory-shed, memory-refused, connection-shed, connection-refused, slow-body."},
		{budgetBytes, "gauge, bytes", "", "Memory that bodies of callers' requests hold."},
		{openConnections, "gauge", "", "Open connections of callers."},
	}
}

// Table returns the list of all metrics as a Markdown table, as in docs/OPERATIONS.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| metric | kind | label | meaning |\n|---|---|---|---|\n")
	for _, i := range Instruments() {
		label := "none"
		if i.Label != "" {
			label = "`" + i.Label + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", i.Name, i.Kind, label, i.Meaning)
	}
	return b.String()
}

// Callbacks holds the functions that return current values. They are called whenever the
// metrics are read, and must be safe for concurrent use.
type Callbacks struct {
	ConfirmationAge  func() timer.Millis
	KnownServers     func() int
	ReachableHosts   func() int
	QuarantinedCalls func() int
	LimitedServers   func() int
	PacedServers     func() int
	HeldBackCalls    func() uint64
	ColdServers      func() int
	// Evacuations returns the names of the evacuated data centres.
	Evacuations     func() []string
	OverShareCalls  func() uint64
	Dials           func() uint64
	DroppedLines    func() uint64
	BudgetBytes     func() int64
	OpenConnections func() int
}

// Measurer records the metrics of a host. The recording methods of a nil Measurer do
// nothing. It is safe for concurrent use.
type Measurer struct {
	meter    metric.Meter
	provider *sdkmetric.MeterProvider
	handler  http.Handler

	requests, storeCalls, items, notPlaced, budgetRefusals metric.Int64Counter
	requestDuration                                        metric.Int64Histogram
	heldBackItems                                          metric.Int64Gauge
}

// durationBounds holds the bucket bounds of the histogram of request durations, in
// milliseconds.
var durationBounds = []float64{10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10000}

// New returns a Measurer with its own registry. The caller must Close it.
func New() (*Measurer, error) {
	registry := prometheus.NewRegistry()
	exporter, err := prometheusexporter.New(prometheusexporter.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "create metrics exporter")
	}
	p := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Measurer{
		meter: p.Meter("github.com/jackdawgate/jackdawgate"), provider: p,
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	for name, to := range map[string]*metric.Int64Counter{requests: &m.requests, storeCalls: &m.storeCalls, items: &m.items, notPlaced: &m.notPlaced, budgetRefusals: &m.budgetRefusals} {
		if *to, err = m.meter.Int64Counter(name); err != nil {
			return nil, eris.Wrap(err, "make counter")
		}
	}
	if m.heldBackItems, err = m.meter.Int64Gauge(heldBackItems); err != nil {
		return nil, eris.Wrap(err, "make gauge")
	}
	m.requestDuration, err = m.meter.Int64Histogram(requestDuration, metric.WithExplicitBucketBoundaries(durationBounds...))
	return m, eris.Wrap(err, "make histogram")
}

// Observe registers the metrics whose values o returns.
func (m *Measurer) Observe(o Callbacks) error {
	gauges := map[string]func() int64{
		confirmationAge:  func() int64 { return int64(o.ConfirmationAge()) },
		knownServers:     func() int64 { return int64(o.KnownServers()) },
		reachableHosts:   func() int64 { return int64(o.ReachableHosts()) },
		quarantinedCalls: func() int64 { return int64(o.QuarantinedCalls()) },
		serverLimits:     func() int64 { return int64(o.LimitedServers()) },
		coldServers:      func() int64 { return int64(o.ColdServers()) },
		serverPaces:      func() int64 { return int64(o.PacedServers()) },
		budgetBytes:      o.BudgetBytes,
		openConnections:  func() int64 { return int64(o.OpenConnections()) },
	}
	for name, read := range gauges {
		_, err := m.meter.Int64ObservableGauge(name, metric.WithInt64Callback(observe(read)))
		if err != nil {
			return eris.Wrap(err, "make gauge")
		}
	}
	_, err := m.meter.Int64ObservableGauge(evacuations, metric.WithInt64Callback(func(_ context.Context, to metric.Int64Observer) error {
		for _, name := range o.Evacuations() {
			to.Observe(1, metric.WithAttributes(attribute.String("data_centre", name)))
		}
		return nil
	}))
	if err != nil {
		return eris.Wrap(err, "make gauge")
	}
	counters := map[string]func() uint64{dials: o.Dials, heldBackCalls: o.HeldBackCalls, overShareCalls: o.OverShareCalls, droppedLines: o.DroppedLines}
	for name, read := range counters {
		_, err := m.meter.Int64ObservableCounter(name, metric.WithInt64Callback(observe(func() int64 { return int64(read()) })))
		if err != nil {
			return eris.Wrap(err, "make counter")
		}
	}
	return nil
}

// observe returns a callback that reports the value of read.
func observe(read func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
}

// Request records that a caller's request ended, with its outcome and its duration.
func (m *Measurer) Request(outcome string, took timer.Millis) {
	if m == nil {
		return
	}
	label := metric.WithAttributes(attribute.String("outcome", outcome))
	m.requests.Add(context.Background(), 1, label)
	m.requestDuration.Record(context.Background(), int64(took), label)
}

// StoreCall counts a call to the platform's store.
func (m *Measurer) StoreCall(call string) {
	if m == nil {
		return
	}
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call)))
}

// BudgetRefusal counts a body or a connection that the budget refused or shed.
func (m *Measurer) BudgetRefusal(cause string) {
	if m == nil {
		return
	}
	m.budgetRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Item counts the end of a run of a batch item, with its outcome.
func (m *Measurer) Item(outcome string) {
	if m == nil {
		return
	}
	m.items.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// NotPlaced counts a request whose allowed regions had no place for it.
func (m *Measurer) NotPlaced(kind string) {
	if m == nil {
		return
	}
	m.notPlaced.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// ItemsHeldBack sets the number of batch items that could run but for the limits of servers.
func (m *Measurer) ItemsHeldBack(n int) {
	if m == nil {
		return
	}
	m.heldBackItems.Record(context.Background(), int64(n))
}

// ServeHTTP implements http.Handler. It writes all metrics in the text format of Prometheus.
func (m *Measurer) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close shuts the metrics provider down.
func (m *Measurer) Close() error {
	return eris.Wrap(m.provider.Shutdown(context.Background()), "shut down metrics provider")
}
