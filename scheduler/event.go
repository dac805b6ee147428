package scheduler

import (
	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/opener"
)

// event is a message to the job loop: one of the types below.
type event interface{ event() }

type (
	// jobOffered reports a job that this host may own. The job may be present
	// already.
	jobOffered struct{ id string }
	// jobOpened and jobEnded carry the results of opening and ending a job.
	jobOpened struct {
		job    *job
		result opener.OpenResult
		err    error
	}
	jobEnded struct {
		job      *job
		manifest bookkeeper.Manifest
		err      error
	}
	// pageRead carries the result of reading a page of items that starts at index
	// from.
	pageRead struct {
		job     *job
		from    uint64
		records [][]byte
		err     error
	}
	// callFinished reports that the call of an item has ended.
	callFinished struct{ result itemResult }
	// recordsAppended carries the result of appending the first count pending
	// records.
	recordsAppended struct {
		job   *job
		count int
		err   error
	}
	// manifestPolled carries a manifest that was read from the store.
	manifestPolled struct {
		job      *job
		manifest bookkeeper.Manifest
	}
	// cancelRequested carries a manifest in which the cancellation is recorded.
	// The reply is whether this host runs the job.
	cancelRequested struct {
		manifest bookkeeper.Manifest
		reply    chan bool
	}
	// statusRequested queries a job that this host runs.
	statusRequested struct {
		id    string
		reply chan statusReply
	}
	// stopRequested ends the job loop once nothing is left to record, or
	// after stopTimeout.
	stopRequested struct{}
)

// statusReply answers statusRequested. The manifest is set only if this host runs
// the job and has opened it once.
type statusReply struct {
	manifest bookkeeper.Manifest
	known    bool
}

func (jobOffered) event()      {}
func (jobOpened) event()       {}
func (jobEnded) event()        {}
func (pageRead) event()        {}
func (callFinished) event()    {}
func (recordsAppended) event() {}
func (manifestPolled) event()  {}
func (cancelRequested) event() {}
func (statusRequested) event() {}
func (stopRequested) event()   {}
