package suspector

import (
	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// ProgressEvents is the number of events after which an answer is under way. A part of a
// prompt can crash a server only before that, when it is read.
const ProgressEvents = 4

// Call identifies a call by what repetitions of it and other calls have in common with
// it.
type Call struct {
	// Fingerprint identifies the call itself; see Fingerprint.
	Fingerprint uint64
	// Batch is set for batch items. They are never suspected as a whole, only for parts
	// that they share with others.
	Batch bool
	// Parts identify the parts of the call's prompt that other calls may share, in
	// order; see Parts.
	Parts []uint64
	// Workspace is the workspace that the call runs for.
	Workspace string
}

// Attempt is an attempt of a call at one server.
type Attempt struct {
	Call
	Server cataloger.Incarnation
	// Sent is when the call was sent to the server.
	Sent timer.Millis
	// Events is the number of events that the server sent in answer.
	Events int
}

// Fingerprint returns a hash that identifies a call: it is the same when the same
// workspace sends the same body to the same target again.
func Fingerprint(workspace, target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// workspaceHash returns the hash of the call's workspace in records.
func (c Call) workspaceHash() uint32 { return uint32(xxhash.Sum64String(c.Workspace)) }

// prompt returns the record of the call's prompt.
func (c Call) prompt() Prompt {
	return Prompt{Call: c.Fingerprint, Workspace: c.workspaceHash(), Parts: c.Parts}
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// PartsField returns the log field with the parts of the call's prompt.
func (c Call) PartsField() zap.Field {
	return zap.Uint64s("parts", c.Parts[:min(len(c.Parts), maxLoggedParts)])
}

// Parts returns hashes that identify the parts of a prompt with these identifiers. They
// differ from the fingerprints of calls.
func Parts(ids []string) []uint64 {
	out := make([]uint64, 0, len(ids))
	for _, id := range ids {
		out = append(out, xxhash.Sum64String("part\x00"+id))
	}
	return out
}
