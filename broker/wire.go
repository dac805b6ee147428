package broker

import (
	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Groups is the number of groups into which batch jobs are divided. It must be the same on
// all hosts.
const Groups = 12

// GroupOf returns the group of a job.
func GroupOf(job string) int { return int(xxhash.Sum64String(job) % Groups) }

// Methods of the host that serves a job's group.
const (
	methodSubmit  messenger.Method = "broker/submit"
	methodResults messenger.Method = "broker/results"
	methodBody    messenger.Method = "broker/body"
	methodEnd     messenger.Method = "broker/end"
	// methodRelay requests an entry host to relay a call of one of the other methods.
	methodRelay messenger.Method = "broker/relay"
)

type submitRequest struct {
	_   struct{} `cbor:",toarray"`
	Job queuer.Job
	// MaxQueued is how many tokens of the workspace may wait on the route.
	MaxQueued int64
}

type jobRequest struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// Workspace is that of the owner whose job the call is about.
	Workspace string
	// Item is set for methodBody, From and Wait for methodResults.
	Item string
	From int
	Wait timer.Millis
}

// verdict is the outcome of a call, as reported by the called host.
type verdict uint8

const (
	// verdictDone reports success.
	verdictDone verdict = iota + 1
	// verdictNotOwner reports that the host does not serve the job's group.
	verdictNotOwner
	// verdictUncertain reports that it is unknown whether a change was committed.
	verdictUncertain
	verdictNotFound
	verdictQueueFull
	// verdictConflict reports that another owner has a job of this name.
	verdictConflict
	// verdictNotPermitted reports that the allowed regions of the job have no place for it.
	// The Body of the reply is the reason.
	verdictNotPermitted
)

type reply struct {
	_       struct{} `cbor:",toarray"`
	Verdict verdict
	// Results are those of methodResults. With verdictNotFound, only their Total is set, and
	// only if the owner has the job but not the item. Earlier versions never set it then.
	Results queuer.Results
	Body    []byte
}
