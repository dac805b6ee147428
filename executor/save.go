package executor

import (
	"context"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// saveInterval is how often the output of running items is saved.
	saveInterval timer.Millis = 600
	// saveTimeout bounds one proposal of saved output.
	saveTimeout = 2 * timer.Second
	// maxSavedBytes is how much output one record saves, unless one item has more of it.
	// partBytes is about how long a part is without its job's name and its output.
	maxSavedBytes = 1 << 20
	partBytes     = 32
)

// unsaved is the progress of an item that is not yet known to be in its group's log.
type unsaved struct {
	task *task
	// failures is the item's number of failures, or zero if the log has it.
	failures int
}

// savedRecord is a record that saves the progress of some items.
type savedRecord struct {
	queuer.Saved
	// parts are the record's parts, failures the items of its failures.
	parts    []unsavedPart
	failures []*task
	// bytes is about how long the record is.
	bytes int
}

// add adds what is unsaved of an item.
func (r *savedRecord) add(u unsaved) {
	ref := u.task.key.ref
	if p, ok := u.task.unsaved(u.task.key); ok {
		r.Parts, r.parts = append(r.Parts, p.Part), append(r.parts, p)
		r.bytes += len(p.Output) + len(ref.Job) + partBytes
	}
	if u.failures > 0 {
		r.Failures, r.failures = append(r.Failures, queuer.Failure{Job: ref.Job, Item: ref.Item, Count: u.failures}), append(r.failures, u.task)
		r.bytes += len(ref.Job) + partBytes
	}
}

// savePeriodically writes the output of running items to their groups' logs, so that
// a host that takes over a group can resume them where this host stopped.
func (x *Executor) savePeriodically(ctx context.Context) {
	for timer.Sleep(ctx, saveInterval) {
		x.save(ctx)
	}
	// Save the output of items evicted by Close too, before the groups are released.
	x.save(context.WithoutCancel(ctx))
}

func (x *Executor) save(ctx context.Context) {
	groups := make(map[int][]unsaved)
	x.mu.Lock()
	for _, t := range x.tasks {
		u := unsaved{task: t}
		if t.failures > t.loggedFailures {
			u.failures = t.failures
		}
		groups[t.group.Number] = append(groups[t.group.Number], u)
	}
	x.mu.Unlock()
	for _, list := range groups {
		x.saveGroup(ctx, list[0].task.group, list)
	}
}

// saveGroup saves the progress of a group's items, in several records if there is much.
func (x *Executor) saveGroup(ctx context.Context, g Group, list []unsaved) {
	var r savedRecord
	for i, u := range list {
		r.add(u)
		if r.bytes == 0 || (r.bytes < maxSavedBytes && i < len(list)-1) {
			continue
		}
		if !x.saveRecord(ctx, g, r) {
			return
		}
		r = savedRecord{}
	}
}

// saveRecord commits a record to the group's log, and reports whether it was committed.
func (x *Executor) saveRecord(ctx context.Context, g Group, r savedRecord) bool {
	entries, err := queuer.Encode(r.Saved)
	if err != nil {
		x.options.Logger.Error("encode unsaved output", zap.Int("group", g.Number), zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout.Duration())
	defer cancel()
	if err := g.Propose(ctx, entries...); err != nil {
		// The save may still have taken effect. The next one repeats its bytes at the
		// same offset, with any newer ones after them, so nothing is duplicated.
		x.options.Logger.Info("save output of running items", zap.Int("group", g.Number), zap.Error(err))
		return false
	}
	for _, p := range r.parts {
		p.markSaved()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, f := range r.Failures {
		r.failures[i].loggedFailures = max(r.failures[i].loggedFailures, f.Count)
	}
	return true
}
