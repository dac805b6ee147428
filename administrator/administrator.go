// Package administrator defines the types of the operators' HTTP API, which hosts
// serve and the command line uses. Requests and answers are JSON with field names in
// kebab case. Every request carries the operators' token as "Authorization: Bearer".
// All hosts serve the API.
//
// A change has an identifier that the operator's client generates, which makes it
// idempotent: if it is sent again, to any host, it is not applied a second time, and
// the answer has the version in which it was applied.
package administrator

import (
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Paths of the API.
const (
	// ChangesPath accepts a POST of a ChangeRequest and returns a ChangeResponse.
	ChangesPath = "/admin/v1/changes"
	// RecordPath returns the registrar.Record in force, without key hashes.
	RecordPath = "/admin/v1/record"
	// StatusPath returns a Status.
	StatusPath = "/admin/v1/status"
	// RemovePath accepts a POST of a RemoveRequest and returns a ChangeResponse.
	RemovePath = "/admin/v1/hosts/remove"
	// JobsPath accepts a POST of a job's items as JSONL, with the workspace,
	// endpoint and deadline in the query and the Idempotency-Key header, and
	// returns a submitter.Job. A GET lists jobs, with the query parameters
	// workspace, after and limit. JobsPath/ID returns one job, JobsPath/ID/cancel
	// accepts a POST, and JobsPath/ID/output returns JSONL, with the query
	// parameter kind=output or kind=errors. All of them require the workspace in
	// the query.
	JobsPath = "/admin/v1/jobs"
	// UsagePath returns a usage report of package recorder. The query parameters
	// from and until are in Unix milliseconds.
	UsagePath = "/admin/v1/usage"
	// UsageRecordsPath returns the signed usage records, for verification.
	UsageRecordsPath = "/admin/v1/usage/records"
)

// CodeChangeUnknown is the code of an error that leaves it unknown whether a change
// was applied. Sending the change again with the same identifier resolves this.
const CodeChangeUnknown = "change-unknown"

// CodeNoReport is the code of an error that says why usage can't be reported.
const CodeNoReport = "no-usage-report"

// ChangeRequest requests one change of the record.
type ChangeRequest struct {
	// ID identifies the change in repeated requests.
	ID     string             `json:"id"`
	Change registrar.Envelope `json:"change"`
}

// ChangeState is the extent to which a change is known to have been applied.
type ChangeState string

// Values of ChangeState.
const (
	// ChangeAccepted means that the change is in force: no host acts without it
	// beyond its current permission.
	ChangeAccepted ChangeState = "accepted"
	// ChangeWritten means that the change is in the store and will come into
	// force, but is not known to be in force yet. Sending it again returns its
	// current state.
	ChangeWritten ChangeState = "written"
	// ChangeUnknown means that it is unknown whether the change was written.
	// Sending it again resolves this.
	ChangeUnknown ChangeState = "unknown"
)

// ChangeResponse is the result of a change.
type ChangeResponse struct {
	ID string `json:"id"`
	// Version is the version of the record in which the change was applied.
	Version registrar.Version `json:"version"`
	State   ChangeState       `json:"spread"`
	// Repeated indicates that the change had been applied before this request.
	Repeated bool `json:"repeated"`
}

// RemoveRequest requests the removal of a member that will not return. If
// Incarnation is set, the member must have this incarnation. With Force the member
// is removed even if a majority of the members is lost.
type RemoveRequest struct {
	ID          string `json:"id"`
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Force       bool   `json:"force"`
}

// Status is the state of the fleet as one host observes it.
type Status struct {
	Host        string            `json:"host"`
	Incarnation string            `json:"incarnation"`
	DataCentre  string            `json:"data-centre"`
	Version     registrar.Version `json:"version"`
	Epoch       registrar.Epoch   `json:"epoch"`
	Preset      string            `json:"preset"`
	Member      bool              `json:"member"`
	Draining    bool              `json:"draining"`
	// PermittedFor is the remaining duration of the host's permission, in
	// milliseconds.
	PermittedFor timer.Millis   `json:"permitted-for"`
	Members      []MemberStatus `json:"members"`
	Servers      []ServerStatus `json:"servers"`
}

// MemberStatus is the state of a member as the host observes it.
type MemberStatus struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	Incarnation string `json:"incarnation"`
	Caller      string `json:"caller-address"`
	Peer        string `json:"peer-address"`
}

// ServerStatus is the state of a backend server as the host observes it.
type ServerStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// Keeper is the name of the keeper host.
	Keeper  string `json:"keeper"`
	Leaving bool   `json:"leaving"`
	Healthy bool   `json:"healthy"`
	// Online and Batch are the numbers of running calls of these classes, and
	// Waiting is the number of calls that wait for a slot.
	Online  int `json:"online"`
	Batch   int `json:"batch"`
	Waiting int `json:"waiting"`
}
