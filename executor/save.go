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
)

// unsavedRecords is the output and the failures of a group's items that are not yet
// known to be in its log.
type unsavedRecords struct {
	group    Group
	parts    []part
	failures []failure
}

// part is the unsaved output of one item.
type part struct {
	task *task
	queuer.Part
}

// failure is the number of failures of one item, if that is not saved yet.
type failure struct {
	task *task
	queuer.Failure
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
	groups := make(map[int]*unsavedRecords)
	x.mu.Lock()
	for _, t := range x.tasks {
		u, ok := groups[t.group.Number]
		if !ok {
			u = &unsavedRecords{group: t.group}
			groups[t.group.Number] = u
		}
		if p, ok := t.unsaved(); ok {
			u.parts = append(u.parts, part{task: t, Part: p})
		}
		if t.failures > t.loggedFailures {
			u.failures = append(u.failures, failure{task: t, Failure: queuer.Failure{Job: t.key.ref.Job, Item: t.key.ref.Item, Count: t.failures}})
		}
	}
	x.mu.Unlock()
	for _, u := range groups {
		if len(u.parts)+len(u.failures) > 0 {
			x.saveGroup(ctx, u)
		}
	}
}

func (x *Executor) saveGroup(ctx context.Context, u *unsavedRecords) {
	g := u.group
	var r queuer.Saved
	for _, p := range u.parts {
		r.Parts = append(r.Parts, p.Part)
	}
	for _, f := range u.failures {
		r.Failures = append(r.Failures, f.Failure)
	}
	data, err := queuer.Encode(r)
	if err != nil {
		x.options.Logger.Error("encode unsaved output", zap.Int("group", g.Number), zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout.Duration())
	defer cancel()
	if err := g.Propose(ctx, data); err != nil {
		// The save may still have taken effect. The next one repeats its bytes at the
		// same offset, with any newer ones after them, so nothing is duplicated.
		x.options.Logger.Info("save output of running items", zap.Int("group", g.Number), zap.Error(err))
		return
	}
	for _, p := range u.parts {
		p.task.markSaved(p.From + len(p.Output))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range u.failures {
		f.task.loggedFailures = max(f.task.loggedFailures, f.Count)
	}
}

// unsaved returns the output received since the item was last saved. It returns
// false if there is none.
func (t *task) unsaved() (queuer.Part, bool) {
	t.outputMu.Lock()
	defer t.outputMu.Unlock()
	p := queuer.Part{Job: t.key.ref.Job, Item: t.key.ref.Item, From: t.saved, Events: t.events, LastEvent: t.lastID}
	p.Output = append(p.Output, t.output[t.saved:]...)
	return p, len(p.Output) > 0
}

// markSaved records that the log has the output up to this length in bytes.
func (t *task) markSaved(bytes int) {
	t.outputMu.Lock()
	defer t.outputMu.Unlock()
	t.saved = max(t.saved, bytes)
}

// unsavedOutput returns the output that is not saved yet and its offset in bytes.
func (t *task) unsavedOutput() (from int, output []byte) {
	t.outputMu.Lock()
	defer t.outputMu.Unlock()
	return t.saved, append([]byte(nil), t.output[t.saved:]...)
}
