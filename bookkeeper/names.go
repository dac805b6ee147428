package bookkeeper

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/jackdawgate/jackdawgate/submitter"
)

// Lengths of the parts of identifiers, in hexadecimal digits.
const (
	workspaceDigits = 12
	keyDigits       = 24
)

// WorkspaceHash returns the part of identifiers that distinguishes workspaces.
func WorkspaceHash(workspace string) string {
	h := sha256.Sum256([]byte(workspace))
	return hex.EncodeToString(h[:])[:workspaceDigits]
}

// jobPrefix returns the prefix of the identifiers of a workspace's jobs.
func jobPrefix(workspace string) string { return "batch_" + WorkspaceHash(workspace) }

// InWorkspace reports whether the job with this identifier belongs to the workspace.
func InWorkspace(jobID, workspace string) bool {
	return strings.HasPrefix(jobID, jobPrefix(workspace))
}

// JobID returns the identifier of the job with this idempotency key. Two submissions
// of a job have the same identifier, and therefore the same key in the store.
func JobID(workspace, idempotencyKey string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + idempotencyKey))
	return jobPrefix(workspace) + hex.EncodeToString(h[:])[:keyDigits]
}

// Prefixes of the names of segments.
const (
	ItemsPrefix   = "items/"
	resultsPrefix = "results/"
)

// ItemsName returns the name of a segment of a job's items. nonce distinguishes the
// segments of repeated submissions.
func ItemsName(jobID, nonce string) string { return ItemsPrefix + jobID + "/" + nonce }

// ResultsName returns the name of a segment of a job's results. nonce distinguishes
// the job's result segments.
func ResultsName(jobID, nonce string) string { return resultsPrefix + jobID + "/" + nonce }

// Parts of the identifiers of files.
const (
	FileIDPrefix = "file-"
	outputSuffix = "-output"
	errorSuffix  = "-error"
)

// OutputFileID returns the identifier of a job's output file.
func OutputFileID(jobID string) string { return FileIDPrefix + jobID + outputSuffix }

// ErrorFileID returns the identifier of a job's error file.
func ErrorFileID(jobID string) string { return FileIDPrefix + jobID + errorSuffix }

// ParseOutputFileID returns the job, and the kind of its file, to which a file
// identifier refers. It returns false if id is not the identifier of a job's file.
func ParseOutputFileID(id string) (string, submitter.OutputKind, bool) {
	rest, ok := strings.CutPrefix(id, FileIDPrefix)
	if !ok {
		return "", "", false
	}
	if job, ok := strings.CutSuffix(rest, outputSuffix); ok {
		return job, submitter.OutputDone, true
	}
	if job, ok := strings.CutSuffix(rest, errorSuffix); ok {
		return job, submitter.OutputFailed, true
	}
	return "", "", false
}

// SegmentHeader is the header of a job's item and result segments.
type SegmentHeader struct {
	JobID     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}
