// Package manager serves the operators' HTTP API of one host. Package administrator
// defines the requests and responses.
//
// A request is authorised by the operators' token alone. It is served even when the host
// is not permitted to act, because an operator may have to change the very setting that
// prevents the host from acting. The hash of the token is compared in constant time; if
// no hash is configured, every token is rejected.
//
// A change carries an identifier that the operator chose. If its outcome is not known in
// time, the response says so, and the operator can safely repeat the change with the
// same identifier to find out.
package manager

import (
	"context"
	"io"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// Root is the prefix of the paths of the operators' API.
const Root = "/admin/v1/"

// Options configure a Manager. Changer, Servers and Usage may be nil. Without Changer,
// changes are answered with not-served, and without Usage, reports of usage. Without
// Servers, the status lists the backend servers of the record.
type Options struct {
	Viewer   coordinator.Viewer
	Receiver *receiver.Receiver
	Guardian *guardian.Guardian
	Clock    timer.Clock
	Logger   *zap.Logger
	// Changer carries out operators' changes.
	Changer Changer
	// Servers returns the status of the backend servers as seen by this host.
	Servers func() []administrator.ServerStatus
	// Usage reports the usage of workspaces.
	Usage Usage
	// Jobs handles the requests under administrator.JobsPath.
	Jobs fasthttp.RequestHandler
	// Draining reports whether this host is leaving.
	Draining func() bool

	// TokenHash is the SHA-256 hash of the operators' bearer token. If it is empty, all
	// tokens are rejected.
	TokenHash []byte
	// UsageTimeout is the timeout of a report of usage.
	UsageTimeout timer.Millis
}

// Manager handles the requests of operators.
type Manager struct{ options Options }

// New returns a Manager.
func New(o Options) *Manager { return &Manager{options: o} }

// Changer carries out operators' changes. It returns a *registrar.RefusedError or a
// *registrar.ConflictError if a change can't be applied to the record. A change that was
// written but is not known to be accepted in time is not an error: the answer has its
// spread.
type Changer interface {
	Change(ctx context.Context, id string, c registrar.Change) (administrator.ChangeResponse, error)
	Remove(ctx context.Context, r administrator.RemoveRequest) (administrator.ChangeResponse, error)
}

// Usage writes reports of the usage of workspaces between two instants in Unix
// milliseconds.
type Usage interface {
	WriteReport(ctx context.Context, w io.Writer, from, until timer.Millis) error
	WriteRecords(ctx context.Context, w io.Writer, from, until timer.Millis) error
}
