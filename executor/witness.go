package executor

import (
	"fmt"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

// minWitnesses is how many servers must agree on an item before it, and not they, counts as the
// cause.
const minWitnesses = 3

// agree reports whether so many different servers ended runs of an item in the same way that one
// faulty server cannot be the cause: minWitnesses and the job's MaxAttempts, or all servers of the
// service on which the item may run. The caller holds x.mu.
func (x *Executor) agree(t *task, service string, servers map[string]bool) bool {
	if len(servers) >= max(minWitnesses, t.job.MaxAttempts) {
		return true
	}
	return !slices.ContainsFunc(x.options.Snapshot().ServersOf(service), func(v cataloger.Server) bool {
		return x.permits(t, v) && !servers[v.ID]
	})
}

// afterOverrun drops the output of an item that exceeded its bound on server v: no other server
// has confirmed it. If other servers agree, the item is abandoned. Otherwise the run has the
// outcome result.
func (x *Executor) afterOverrun(t *task, v cataloger.Server, err *outputTooLongError, result outcome) outcome {
	t.drop()
	x.mu.Lock()
	defer x.mu.Unlock()
	t.overran[v.ID] = true
	if !x.agree(t, v.Service, t.overran) {
		return result
	}
	return abandoned{reason: fmt.Sprintf("%v, at %d servers", err, len(t.overran))}
}
