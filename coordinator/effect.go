package coordinator

import (
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
)

// Effect is an action that the caller of Step must carry out. Effects may be carried
// out concurrently, except that a Publish must be visible to the request path before
// any later reply is sent.
type Effect interface{ effect() }

// Target is the host that a request is sent to. Name is empty for a seed address.
type Target struct {
	Name    string
	Address string
}

// Publish makes the Snapshot of the new State the current one.
type Publish struct{}

// QueryReports sends Request to each target. Each response is delivered as
// ReportReceived.
type QueryReports struct {
	Round   uint64
	Targets []Target
	Request ReportRequest
}

// QueryRelay sends a RelayRequest. The outcome is delivered as RelayResponseReceived.
type QueryRelay struct {
	Round   uint64
	Address string
}

// FetchRecord requests the record that the host at Address holds. The outcome is
// delivered as RecordFetched.
type FetchRecord struct{ Address string }

// ReadStore makes a consistent read of the record. The outcome is delivered as
// StoreRead.
type ReadStore struct{ Read uint64 }

// WriteStore writes Record if the store is still at version Old. The outcome is
// delivered as StoreWritten.
type WriteStore struct {
	Write  uint64
	Record registrar.Record
	Old    storer.Version
}

// ReplyReport is the response to a ReportRequested.
type ReplyReport struct {
	Token  Token
	Report Report
}

// ReplyRelay is the response to a RelayRequested.
type ReplyRelay struct {
	Token    Token
	Response RelayResponse
}

// FinishChange is the response to a ChangeRequested. Err is nil, or usually a
// *registrar.RefusedError, a *registrar.ConflictError or an *UnwrittenError.
type FinishChange struct {
	Token  Token
	Result ChangeResult
	Err    error
}

// FinishLeave is the response to a LeaveRequested.
type FinishLeave struct{ Token Token }

// LogDecision writes Decision to the log.
type LogDecision struct{ Decision Decision }

func (Publish) effect()      {}
func (QueryReports) effect() {}
func (QueryRelay) effect()   {}
func (FetchRecord) effect()  {}
func (ReadStore) effect()    {}
func (WriteStore) effect()   {}
func (ReplyReport) effect()  {}
func (ReplyRelay) effect()   {}
func (FinishChange) effect() {}
func (FinishLeave) effect()  {}
func (LogDecision) effect()  {}

// Decision is a log entry about a change of this host's view or permission. That a
// peer's Report showed a version to be accepted or an epoch to be settled is not logged.
type Decision struct {
	// Kind is the kind of the decision. Version and Epoch are those of the record in
	// force, also for EpochSettled, which may be about an earlier epoch.
	Kind    DecisionKind
	Version registrar.Version
	Epoch   registrar.Epoch
	// Hosts has the names of the members that join, prefixed with +, and of those to
	// be removed, prefixed with -.
	Hosts []string
}

// DecisionKind is a stable name in kebab case, used as the log message.
type DecisionKind string

// Kinds of decisions.
const (
	RecordAdopted    DecisionKind = "record-adopted"
	VersionAccepted  DecisionKind = "version-accepted"
	EpochSettled     DecisionKind = "epoch-settled"
	PermissionGained DecisionKind = "permission-gained"
	PermissionLost   DecisionKind = "permission-lost"
	MembersProposed  DecisionKind = "members-proposed"
	StoreLost        DecisionKind = "store-lost"
	StoreFound       DecisionKind = "store-found"
	Leaving          DecisionKind = "leaving"
)

// ChangeResult reports how far an operator's change has spread.
type ChangeResult struct {
	Version registrar.Version
	// Accepted reports whether the change is known to be held by a majority. If it is
	// false, the change is written to the store, but was not known to be accepted at
	// the deadline. Repeating it with the same identifier determines that.
	Accepted bool
	// Holders is the number of members, out of Members, that are known to hold the
	// record in force.
	Holders int
	Members int
}

// UnwrittenError reports that a change was not known to be written at its deadline.
type UnwrittenError struct {
	ID string
	// MaybeWritten reports whether the outcome of a write of the change is unknown.
	// Repeating the change with the same identifier is safe and resolves it.
	MaybeWritten bool
}

func (e *UnwrittenError) Error() string {
	if e.MaybeWritten {
		return "change " + e.ID + " may have been written: the store did not answer"
	}
	return "change " + e.ID + " was not written: the store did not answer in time"
}
