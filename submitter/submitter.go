// Package submitter defines the interface through which batch jobs are submitted
// and queried: the API, its requests and responses, and its errors. Package
// batcher implements it.
//
// Instants are Unix milliseconds. After an error that is not of a type in this
// package, it is unknown whether the operation took effect. After such an error,
// as after a NotAcceptedError, repeating a submission with the same idempotency
// key is safe.
package submitter

import (
	"context"
	"io"

	"github.com/jackdawgate/jackdawgate/timer"
)

// API is the interface that the handlers for callers and operators use. Every
// method has the caller's workspace as a parameter, and behaves as if jobs and
// files of other workspaces did not exist. All methods are safe for concurrent
// use and work on any host, with or without a data folder.
type API interface {
	// Submit accepts a job whose items are lines of JSON. It fails with a
	// *BadLineError, *ConflictError or *NotAcceptedError.
	Submit(ctx context.Context, r SubmitRequest) (Job, error)
	// SubmitFromFile accepts a job whose items are the lines of an uploaded file.
	// It fails with the errors of Submit, or with a *NotFoundError.
	SubmitFromFile(ctx context.Context, r FileSubmitRequest) (Job, error)
	// Status returns a job with its progress.
	Status(ctx context.Context, workspace, jobID string) (Job, error)
	// Cancel stops a job; results that are recorded are kept. It returns once the
	// cancellation is recorded. Cancelling a job that has ended has no effect.
	Cancel(ctx context.Context, workspace, jobID string) (Job, error)
	// List returns a page of the workspace's jobs, newest first.
	List(ctx context.Context, workspace string, p PageRequest) (JobPage, error)
	// Output writes the job's results recorded so far to w, as lines of JSON.
	Output(ctx context.Context, workspace, jobID string, kind OutputKind, w io.Writer) error

	// PutFile stores a file. It fails with a *BadLineError if the purpose is
	// PurposeBatch and a line is not a valid request, or with a *NotAcceptedError.
	PutFile(ctx context.Context, r PutFileRequest) (File, error)
	// FileInfo describes an uploaded file, or a job's output or error file.
	FileInfo(ctx context.Context, workspace, fileID string) (File, error)
	// FileContent writes the content of an uploaded file, or of a job's output or
	// error file, to w.
	FileContent(ctx context.Context, workspace, fileID string, w io.Writer) error
	// ListFiles returns a page of the workspace's uploaded files, newest first.
	ListFiles(ctx context.Context, workspace string, p PageRequest) (FilePage, error)
	// DeleteFile removes an uploaded file. Jobs created from it are not affected.
	DeleteFile(ctx context.Context, workspace, fileID string) error
}

// SubmitRequest describes a job to be accepted.
type SubmitRequest struct {
	Workspace string
	// IdempotencyKey makes a repeated Submit return the same job. If it is empty,
	// every Submit creates a new job.
	IdempotencyKey string
	// Endpoint is the path that every item calls, such as "/v1/chat/completions".
	Endpoint string
	// Items has one JSON object per line, with the fields custom_id, method, url
	// and body.
	Items io.Reader
	// Deadline is when the job is due, in Unix milliseconds; zero means never. Of
	// a workspace's jobs, the one with the earliest deadline runs first. A job
	// continues after its deadline.
	Deadline timer.Millis
	Metadata map[string]string
}

// FileSubmitRequest describes a job whose items are in an uploaded file. Fields
// with the names of those in SubmitRequest have the same meaning.
type FileSubmitRequest struct {
	Workspace      string
	IdempotencyKey string
	Endpoint       string
	FileID         string
	Deadline       timer.Millis
	Metadata       map[string]string
}

// State is the state of a job.
type State string

// States of a job.
const (
	// StateWaiting means that the job is accepted and no owner has opened it.
	StateWaiting State = "waiting"
	// StateRunning means that an owner has opened the job and runs its items.
	StateRunning State = "running"
	// StateCancelling means that no further item starts and running ones are
	// interrupted.
	StateCancelling State = "cancelling"
	// StateCancelled means that the job was cancelled before all items had ended;
	// results that were recorded are kept.
	StateCancelled State = "cancelled"
	// StateCompleted means that every item has ended, as done or failed.
	StateCompleted State = "completed"
	// StateFailed means that the job can't continue; Job.Reason has the cause.
	StateFailed State = "failed"
)

// Ended reports whether the job has ended, so that its results can no longer
// change.
func (s State) Ended() bool {
	return s == StateCancelled || s == StateCompleted || s == StateFailed
}

// Counts has the number of a job's items in each state.
type Counts struct {
	Total  int64 `cbor:"1,keyasint" json:"total"`
	Done   int64 `cbor:"2,keyasint" json:"done"`
	Failed int64 `cbor:"3,keyasint" json:"failed"`
	// Running is the number of items with a call in progress.
	Running int64 `cbor:"4,keyasint" json:"running"`
}

// Job describes a job to callers. Instants are Unix milliseconds; zero means that
// the event has not happened or its time is unknown.
type Job struct {
	ID             string            `cbor:"1,keyasint" json:"id"`
	Workspace      string            `cbor:"2,keyasint" json:"workspace"`
	IdempotencyKey string            `cbor:"3,keyasint" json:"idempotency-key"`
	Endpoint       string            `cbor:"4,keyasint" json:"endpoint"`
	InputFileID    string            `cbor:"5,keyasint" json:"input-file-id"`
	OutputFileID   string            `cbor:"6,keyasint" json:"output-file-id"`
	ErrorFileID    string            `cbor:"7,keyasint" json:"error-file-id"`
	Metadata       map[string]string `cbor:"8,keyasint" json:"metadata"`
	State          State             `cbor:"9,keyasint" json:"state"`
	// Reason is the cause of a job's failure.
	Reason   string       `cbor:"10,keyasint" json:"reason"`
	Created  timer.Millis `cbor:"11,keyasint" json:"created"`
	Deadline timer.Millis `cbor:"12,keyasint" json:"deadline"`
	Started  timer.Millis `cbor:"13,keyasint" json:"started"`
	// CancelRequested is when the cancellation was recorded.
	CancelRequested timer.Millis `cbor:"14,keyasint" json:"cancel-requested"`
	Ended           timer.Millis `cbor:"15,keyasint" json:"ended"`
	// Expires is when the results are deleted.
	Expires timer.Millis `cbor:"16,keyasint" json:"expires"`
	Counts  Counts       `cbor:"17,keyasint" json:"counts"`
	// CountsKnown is false if the job's owner did not answer the query, so that
	// Counts may be outdated.
	CountsKnown bool `cbor:"18,keyasint" json:"counts-known"`
	// ItemsPerSecond is the recent rate at which items end.
	ItemsPerSecond float64 `cbor:"19,keyasint" json:"items-per-second"`
	// ExpectedEnd is an estimate computed from ItemsPerSecond; 0 if there is none.
	ExpectedEnd timer.Millis `cbor:"20,keyasint" json:"expected-end"`
	// LostSegments is the number of result segments that were lost because all
	// their holders were; their items run again.
	LostSegments int64 `cbor:"21,keyasint" json:"lost-segments"`
}

// PageRequest selects a page of a list.
type PageRequest struct {
	// After is the identifier of the last entry of the previous page; empty for
	// the first page. If the list has no such entry, the call fails with a
	// *NotFoundError.
	After string
	// Limit is the maximum number of entries, 1 to MaxPageSize; 0 means
	// DefaultPageSize.
	Limit int
}

// DefaultPageSize and MaxPageSize are the default and the maximum number of entries
// of a page.
const (
	DefaultPageSize = 20
	MaxPageSize     = 100
)

// JobPage is a page of jobs.
type JobPage struct {
	Jobs []Job
	// More is true if another page follows.
	More bool
}

// OutputKind selects one of a job's two output files.
type OutputKind string

// Kinds of output.
const (
	// OutputDone is the file of items that were answered successfully.
	OutputDone OutputKind = "output"
	// OutputFailed is the file of items that failed, with the reasons.
	OutputFailed OutputKind = "error"
)

// Purpose is what a file is for.
type Purpose string

// Purposes of files.
const (
	// PurposeBatch marks a file with the items of a job, one request per line.
	PurposeBatch Purpose = "batch"
	// PurposeOutput marks a file of results, written by a job.
	PurposeOutput Purpose = "batch_output"
)

// PutFileRequest describes a file to be stored.
type PutFileRequest struct {
	Workspace string
	Name      string
	Purpose   Purpose
	Content   io.Reader
}

// File describes an uploaded file or a job's output or error file. Instants are
// Unix milliseconds.
type File struct {
	ID        string       `cbor:"1,keyasint" json:"id"`
	Workspace string       `cbor:"2,keyasint" json:"workspace"`
	Name      string       `cbor:"3,keyasint" json:"name"`
	Purpose   Purpose      `cbor:"4,keyasint" json:"purpose"`
	Bytes     int64        `cbor:"5,keyasint" json:"bytes"`
	Created   timer.Millis `cbor:"6,keyasint" json:"created"`
	Expires   timer.Millis `cbor:"7,keyasint" json:"expires"`
}

// FilePage is a page of files.
type FilePage struct {
	Files []File
	More  bool
}
