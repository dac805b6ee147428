package server

import (
	"context"
	"crypto/tls"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/forwarder"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/manager"
	"github.com/jackdawgate/jackdawgate/submitter"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Options configure a Server. Viewer, Doer and Limiter are required. Requests
// that need another component that is nil are answered with the error
// not-served.
type Options struct {
	Viewer  coordinator.Viewer
	Doer    requester.Doer
	Limiter Limiter
	// Batches stores files and runs batch jobs.
	Batches submitter.API
	// Recorder records the outcome of each call.
	Recorder forwarder.Recorder
	// Changer applies operators' changes.
	Changer manager.Changer
	// Servers returns the state of the backend servers as this host sees it.
	Servers func() []administrator.ServerStatus
	// Usage reports the usage of workspaces.
	Usage manager.Usage
	// Metrics handles /metrics.
	Metrics fasthttp.RequestHandler

	Clock  timer.Clock
	Logger *zap.Logger
	Meter  metric.Meter

	// AdminTokenHash is the SHA-256 hash of the operators' bearer token. If it
	// is empty, all operators' requests are refused.
	AdminTokenHash []byte
	// TLS, if not nil, enables TLS. Package certifier creates one from files.
	TLS *tls.Config

	// MaxBody limits the body of a call, MaxUpload that of a file or a job's
	// items, and MaxHeader the request line and headers, in bytes.
	MaxBody   int
	MaxUpload int64
	MaxHeader int
	// MaxAnswer limits an answer that is not a stream, in bytes.
	MaxAnswer int
	// MaxConnections and MaxConnectionsPerAddress limit the number of callers'
	// connections.
	MaxConnections           int
	MaxConnectionsPerAddress int
	// Budget is the budget for bodies and connections, which hosts of one process share. The
	// default is that of a process whose memory is not known.
	Budget *holder.Budget
	// ReadTimeout limits the time to read a request, UploadTimeout the time to
	// read an upload, IdleTimeout the wait for the next request on a
	// connection, and WriteTimeout each write to a caller.
	ReadTimeout   timer.Millis
	UploadTimeout timer.Millis
	IdleTimeout   timer.Millis
	WriteTimeout  timer.Millis
	// CallTimeout limits a call, from its admission by package receiver to the last
	// byte of the answer.
	CallTimeout timer.Millis
	// DrainTimeout is how long open calls may continue after Close is called.
	DrainTimeout timer.Millis
	// HostsMaxAge is how long callers may cache the response to /v1/hosts.
	HostsMaxAge timer.Millis
}

const (
	defaultMaxBody        = 8 << 20
	defaultMaxUpload      = 1 << 30
	defaultMaxHeader      = 4 << 10
	defaultMaxAnswer      = 64 << 20
	defaultMaxConnections = 16384
	defaultReadTimeout    = 30 * timer.Second
	defaultUploadTimeout  = 600 * timer.Second
	defaultIdleTimeout    = 60 * timer.Second
	defaultWriteTimeout   = 20 * timer.Second
	defaultCallTimeout    = 300 * timer.Second
	defaultDrainTimeout   = 30 * timer.Second
	defaultHostsMaxAge    = 10 * timer.Second
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timer.System()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Budget == nil {
		o.Budget = holder.NewBudget(holder.Resources{Connections: o.MaxConnections}, o.Clock, nil)
	}
	defaulter.Set(&o.MaxBody, defaultMaxBody)
	defaulter.Set(&o.MaxUpload, defaultMaxUpload)
	defaulter.Set(&o.MaxHeader, defaultMaxHeader)
	defaulter.Set(&o.MaxAnswer, defaultMaxAnswer)
	defaulter.Set(&o.MaxConnections, defaultMaxConnections)
	defaulter.Set(&o.ReadTimeout, defaultReadTimeout)
	defaulter.Set(&o.UploadTimeout, defaultUploadTimeout)
	defaulter.Set(&o.IdleTimeout, defaultIdleTimeout)
	defaulter.Set(&o.WriteTimeout, defaultWriteTimeout)
	defaulter.Set(&o.CallTimeout, defaultCallTimeout)
	defaulter.Set(&o.DrainTimeout, defaultDrainTimeout)
	defaulter.Set(&o.HostsMaxAge, defaultHostsMaxAge)
	return o
}

// Limiter decides whether a call is within the rate limit of its workspace.
type Limiter interface {
	Admit(ctx context.Context, workspace string) Decision
}

// Decision is the decision of a Limiter on a call: Admitted, Refused or
// Unknown.
type Decision interface{ decision() }

// Admitted means that the call has been counted and may run.
type Admitted struct{}

// Refused means that the call exceeds the workspace's rate. A retry after
// RetryAfter is admitted if the workspace sends no other call until then.
type Refused struct{ RetryAfter timer.Millis }

// Unknown means that the call can't be counted at present, so it is unknown whether
// it is within the limit. It must not run.
type Unknown struct {
	Reason     string
	RetryAfter timer.Millis
}

func (Admitted) decision() {}
func (Refused) decision()  {}
func (Unknown) decision()  {}
