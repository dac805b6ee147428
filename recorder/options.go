package recorder

import (
	"crypto/ed25519"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/replicator"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Options configures a Recorder. Zero durations and bounds get defaults.
type Options struct {
	Archive *replicator.Client
	Viewer  coordinator.Viewer
	// Key signs each SignedBatch; its public key is the member's UsageKey.
	Key ed25519.PrivateKey
	Log *zap.Logger
	// Meter creates the metric instruments; if nil, no metrics are recorded.
	Meter metric.Meter

	// FlushInterval is the longest time that an entry waits before its batch is
	// written, unless the write of an earlier batch takes longer; FlushCount is the
	// number of entries at which a batch is written without waiting.
	FlushInterval timer.Millis
	FlushCount    int
	// MaxBuffered is the maximum number of entries that wait for a batch; Record
	// blocks while it is reached.
	MaxBuffered int
	// RotateBytes is the size at which a new usage segment is started.
	RotateBytes int64
	// Retention is how long the usage segments that the Recorder creates are kept. Those
	// that a Sealer creates are kept for the default, 400 days, in every case.
	Retention timer.Millis
}

const defaultRetention = 400 * 24 * 3600 * timer.Second

func (o Options) withDefaults() Options {
	defaulter.Set(&o.FlushInterval, timer.Second)
	defaulter.Set(&o.FlushCount, 512)
	defaulter.Set(&o.MaxBuffered, 8192)
	defaulter.Set(&o.RotateBytes, 64<<20)
	defaulter.Set(&o.Retention, defaultRetention)
	return o
}
