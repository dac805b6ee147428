// Package forwarder runs calls and forwards the answers to callers.
//
// An answer that is not a stream is forwarded once it is complete, so that a
// failure during the answer gives an error response with a code. A stream is
// forwarded in pieces as they arrive. If it can't be completed, the caller
// receives an error event and the connection is closed without the last chunk,
// so that the stream can't be mistaken for a complete answer.
//
// A stream uses two goroutines: one runs the call, the other writes to the
// caller. A bounded queue connects them, so that a slow caller delays its own
// call only, by making the backend server wait.
package forwarder

import (
	"context"

	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/requester"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Options configure a Forwarder. Recorder and Meter may be nil.
type Options struct {
	Doer     requester.Doer
	Guardian *guardian.Guardian
	// Recorder records the outcome of each call.
	Recorder Recorder
	Logger   *zap.Logger
	Meter    metric.Meter
	// MaxAnswer limits an answer that is not a stream, in bytes.
	MaxAnswer int
}

// Forwarder runs the calls of one host. It may be used concurrently.
type Forwarder struct {
	options Options
	metrics metrics
}

// New returns a Forwarder.
func New(o Options) (*Forwarder, error) {
	m, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	return &Forwarder{options: o, metrics: m}, nil
}

// Recorder records the outcomes of calls. Record is called when a call has
// ended, before the caller receives the end of the answer.
type Recorder interface {
	Record(ctx context.Context, r requester.Request, o requester.Outcome)
}
