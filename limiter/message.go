package limiter

import (
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	grantMethod  messenger.Method = "limiter/ask"
	reportMethod messenger.Method = "limiter/report"
)

// Limit is a workspace's rate, in requests per second, and burst, in requests.
type Limit struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

// LimitOf returns the limit of a workspace.
func LimitOf(w registrar.Workspace) Limit {
	return Limit{Rate: max(0, w.RatePerSecond), Burst: float64(max(0, w.Burst))}
}

// Tenure identifies an owner's uninterrupted time as owner of a workspace by the
// epoch in which it began. Later owners have higher tenures.
type Tenure = registrar.Epoch

// GrantRequest is a host's request to a workspace's owner for tokens, for a
// lease, or both. It also reports the host's demand and confirms its lease.
type GrantRequest struct {
	Workspace string `cbor:"1,keyasint"`
	// Seq numbers the grant requests of one incarnation for one workspace. A
	// repeated grant request has the same Seq.
	Seq uint64 `cbor:"2,keyasint"`
	// Want is the number of callers' requests that wait for a token.
	Want int `cbor:"3,keyasint,omitempty"`
	// Demand is the host's mean demand in requests per second, SteadyDemand the
	// part of it that does not come in bursts.
	Demand       float64 `cbor:"4,keyasint,omitempty"`
	SteadyDemand float64 `cbor:"9,keyasint,omitempty"`
	// Tenure and LeaseSeq identify the lease in force. They are zero if there
	// is none.
	Tenure   Tenure `cbor:"5,keyasint,omitempty"`
	LeaseSeq uint64 `cbor:"6,keyasint,omitempty"`
	// SettledSeq is the highest Seq up to which the tokens of all grant requests
	// were spent or discarded.
	SettledSeq uint64 `cbor:"7,keyasint,omitempty"`
	// ReturnsLease reports that the host holds no lease and ignores the leases in
	// responses to earlier grant requests.
	ReturnsLease bool `cbor:"8,keyasint,omitempty"`
}

// GrantResponse is the owner's response to a GrantRequest.
type GrantResponse struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Tenure Tenure `cbor:"2,keyasint"`
	// Tokens may be spent until grantTimeout after the GrantRequest was sent.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// InactiveFor estimates the time until the owner begins to decide; zero if it
	// already does.
	InactiveFor timer.Millis `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the wait for the first request that received no token; each
	// following one waits RetryStep longer.
	RetryAfter timer.Millis `cbor:"5,keyasint,omitempty"`
	RetryStep  timer.Millis `cbor:"6,keyasint,omitempty"`
	// EmptyFor is the time until the pool has a token, unless some are returned.
	EmptyFor timer.Millis `cbor:"7,keyasint,omitempty"`
	// ReportSettled requests the host to report at once which grant requests are
	// settled.
	ReportSettled bool `cbor:"8,keyasint,omitempty"`
	// Lease is the lease that the host holds from receipt of the response, if its
	// Seq is not zero.
	Lease Lease `cbor:"9,keyasint,omitempty"`
}

// Lease is a part of a limit that the owner delegates to one host: a token bucket
// with this rate and depth. Seq increases with each lease issued to the host.
type Lease struct {
	Seq   uint64  `cbor:"1,keyasint,omitempty"`
	Rate  float64 `cbor:"2,keyasint,omitempty"`
	Depth float64 `cbor:"3,keyasint,omitempty"`
	// InitialTokens are the tokens that come with the lease.
	InitialTokens float64 `cbor:"4,keyasint,omitempty"`
	// BaseLimit is the limit that the lease was sized for. A holder whose record
	// has a lower limit scales the lease down.
	BaseLimit Limit `cbor:"5,keyasint,omitempty"`
}

// ReportRequest is a new owner's request for a member's Report.
type ReportRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Tenure    Tenure `cbor:"2,keyasint"`
}

// Report states what a host can still spend from earlier owners' leases.
type Report struct {
	Rate  float64 `cbor:"1,keyasint,omitempty"`
	Depth float64 `cbor:"2,keyasint,omitempty"`
	// Remaining is how long the lease remains in force.
	Remaining timer.Millis `cbor:"3,keyasint,omitempty"`
	// Handover is set only in the report of the previous owner.
	Handover *Handover `cbor:"4,keyasint,omitempty"`
}

// Handover is the state that an owner passes to its successor.
type Handover struct {
	// PoolTokens are the tokens in the pool.
	PoolTokens float64 `cbor:"1,keyasint,omitempty"`
	// Leases are all leases that may be in force, including those of hosts that
	// have left the record.
	Leases []HandedLease `cbor:"2,keyasint,omitempty"`
}

// HandedLease is one host's lease in a Handover.
type HandedLease struct {
	Incarnation string       `cbor:"1,keyasint"`
	Rate        float64      `cbor:"2,keyasint"`
	Depth       float64      `cbor:"3,keyasint"`
	Remaining   timer.Millis `cbor:"4,keyasint"`
}
