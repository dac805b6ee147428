// Package presenter implements the HTTP API of files and batch jobs.
//
// For callers it has the form of the OpenAI API, at PathFiles and PathBatches,
// and gives access to the workspace of their key. For operators it gives access
// to the jobs of any workspace, in the form of package submitter. Both use the
// jobs through submitter.API only, and its errors give the same responses to
// both.
//
// Files are streamed in both directions and never held in memory as a whole. A
// file that is refused after it has been stored is deleted.
package presenter

import (
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Root paths of the callers' API.
const (
	PathFiles   = "/v1/files"
	PathBatches = "/v1/batches"
)

// Options configure a Presenter. All but Batches are required.
type Options struct {
	// Batches stores files and runs jobs. If it is nil, all requests are
	// answered with the error not-served.
	Batches  submitter.API
	Viewer   coordinator.Viewer
	Receiver *receiver.Receiver
	Guardian *guardian.Guardian
	Logger   *zap.Logger

	// MaxBody limits the body of a request that creates a job, MaxUpload that
	// of a file or a job's items, in bytes.
	MaxBody   int
	MaxUpload int64
	// CallTimeout limits the duration of a call, UploadTimeout that of a call
	// with a file or items and of all operators' calls.
	CallTimeout   timer.Millis
	UploadTimeout timer.Millis
}

// Presenter handles requests for files and batch jobs.
type Presenter struct{ options Options }

// New returns a Presenter.
func New(o Options) *Presenter { return &Presenter{options: o} }
