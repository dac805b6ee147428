package executor

import (
	"fmt"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"go.uber.org/zap"
)

// minAgreeing is how many runs on different servers must end in the same way before the item,
// and not the servers, counts as the cause.
const minAgreeing = 3

// runsByServer counts the runs of an item that ended in the same way, by server.
type runsByServer map[string]int

// agree reports whether so many runs ended in the same way that one faulty server cannot be the
// cause: minAgreeing, or as many as the job's MaxAttempts, on as many servers or on all of the
// service on which the item may run. The caller holds x.mu.
func (x *Executor) agree(t *task, service string, list runsByServer) bool {
	runs, need := 0, max(minAgreeing, t.job.MaxAttempts)
	for _, n := range list {
		runs += n
	}
	if runs < need || len(list) >= need {
		return runs >= need
	}
	return !slices.ContainsFunc(x.options.Snapshot().ServersOf(service), func(v cataloger.Server) bool {
		return x.permits(t, v) && list[v.ID] == 0
	})
}

// afterOverrun drops the output of an item that exceeded its bound on server v: no other server
// has confirmed it. If other servers agree, the item is abandoned. Otherwise the run has the
// outcome result.
func (x *Executor) afterOverrun(t *task, v cataloger.Server, err *outputTooLongError, result outcome) outcome {
	t.drop()
	x.mu.Lock()
	defer x.mu.Unlock()
	t.overran[v.ID]++
	if !x.agree(t, v.Service, t.overran) {
		return result
	}
	return abandoned{reason: fmt.Sprintf("%v, on %d servers", err, len(t.overran))}
}

// checkContinued drops the output of an item if servers agree that nothing follows it: then
// the output is not what a run of the item begins with. held is the number of its last event before
// the run on server v, which ended with r.
func (x *Executor) checkContinued(t *task, v cataloger.Server, held int64, r retry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := t.lastEvent()
	if last != held || held == 0 {
		clear(t.notContinued)
		return
	}
	if !r.notContinued {
		return
	}
	t.notContinued[v.ID]++
	if !x.agree(t, v.Service, t.notContinued) {
		return
	}
	x.options.Logger.Warn("no server continues the output of an item; it starts over", zap.String("item", t.item().ID), zap.String("job", t.key.ref.Job),
		zap.Int64("events", held), zap.Int("servers", len(t.notContinued)), zap.String("reason", r.reason))
	clear(t.notContinued)
	t.drop()
}
