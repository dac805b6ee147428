package coordinator

import (
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Token identifies a request from the caller of Step. The effect that answers the
// request carries the same Token.
type Token uint64

// Event is an input of the state machine. Its field At is the instant, on the host's
// monotonic clock, at which Step is called with it; it never decreases from one
// event to the next.
type Event interface{ at() timer.Millis }

// Ticked reports the current time. It must come at least every
// Timing.FastConfirmInterval.
type Ticked struct{ At timer.Millis }

// ReportRequested is a peer's ReportRequest, to be answered by ReplyReport.
type ReportRequested struct {
	At      timer.Millis
	Token   Token
	Request ReportRequest
}

// ReportReceived is the response of one target of a QueryReports. There is no event
// for a target that does not respond.
type ReportReceived struct {
	At    timer.Millis
	Round uint64
	// Name and Address are those of the target.
	Name    string
	Address string
	Report  Report
}

// RelayRequested is a peer's RelayRequest, to be answered by ReplyRelay.
type RelayRequested struct {
	At    timer.Millis
	Token Token
}

// RelayResponseReceived is the outcome of a QueryRelay. Failed reports whether the
// relay did not respond.
type RelayResponseReceived struct {
	At       timer.Millis
	Round    uint64
	Address  string
	Response RelayResponse
	Failed   bool
}

// RecordFetched is the outcome of a FetchRecord. Failed reports whether no record was
// received.
type RecordFetched struct {
	At     timer.Millis
	Record registrar.Record
	Failed bool
}

// StoreRead is the outcome of a ReadStore. Failed reports whether no value was read.
type StoreRead struct {
	At           timer.Millis
	Read         uint64
	Record       registrar.Record
	StoreVersion storer.Version
	Failed       bool
}

// WriteOutcome is the outcome of a write to the store.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// WriteDone means that the record was written.
	WriteDone WriteOutcome = iota + 1
	// WriteConflict means that the record was not written, usually because the store
	// no longer held the expected version.
	WriteConflict
	// WriteUnknown means that the store did not respond: the write may have been
	// carried out, or may still be.
	WriteUnknown
	// WriteTooLarge means that the record was not written, and never will be, because it
	// exceeds the store's limit on values.
	WriteTooLarge
)

// StoreWritten is the outcome of a WriteStore.
type StoreWritten struct {
	At      timer.Millis
	Write   uint64
	Outcome WriteOutcome
}

// ChangeRequested is an operator's change, to be answered by FinishChange in the first
// Step at or after Deadline at the latest.
type ChangeRequested struct {
	At       timer.Millis
	Token    Token
	ID       string
	Change   registrar.Change
	Deadline timer.Millis
}

// DrainRequested announces that the host is going to leave and takes no new work.
type DrainRequested struct{ At timer.Millis }

// LeaveRequested makes the host stop acting, permanently. It is answered by
// FinishLeave when the departure is accepted, so that the process may end.
type LeaveRequested struct {
	At    timer.Millis
	Token Token
}

func (e Ticked) at() timer.Millis                { return e.At }
func (e ReportRequested) at() timer.Millis       { return e.At }
func (e ReportReceived) at() timer.Millis        { return e.At }
func (e RelayRequested) at() timer.Millis        { return e.At }
func (e RelayResponseReceived) at() timer.Millis { return e.At }
func (e RecordFetched) at() timer.Millis         { return e.At }
func (e StoreRead) at() timer.Millis             { return e.At }
func (e StoreWritten) at() timer.Millis          { return e.At }
func (e ChangeRequested) at() timer.Millis       { return e.At }
func (e DrainRequested) at() timer.Millis        { return e.At }
func (e LeaveRequested) at() timer.Millis        { return e.At }
