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
	saveTimeout               = 2 * timer.Second
)

// unlogged is what is not saved yet of a group's items.
type unlogged struct {
	group    Group
	parts    []part
	failures []failure
}

// part is one item's output that is not saved yet, failure its failures.
type part struct {
	task *task
	queuer.Part
}

type failure struct {
	task *task
	queuer.Failure
}

// saveForever puts the output of items that still run into their groups' logs,
// so that a host which takes a group over goes on where this one was.
func (x *Executor) saveForever(ctx context.Context) {
	for timer.Sleep(ctx, saveInterval) {
		x.save(ctx)
	}
	// What was evicted at the end is saved too, before the groups are given up.
	x.save(context.WithoutCancel(ctx))
}

func (x *Executor) save(ctx context.Context) {
	groups := make(map[int]*unlogged)
	x.mu.Lock()
	for _, t := range x.tasks {
		u, ok := groups[t.group.Number]
		if !ok {
			u = &unlogged{group: t.group}
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

func (x *Executor) saveGroup(ctx context.Context, u *unlogged) {
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
		x.options.Logger.Error("output not encoded", zap.Int("group", g.Number), zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout.Duration())
	defer cancel()
	if err := g.Propose(ctx, data); err != nil {
		// The same bytes are saved again next time, on top of whatever was.
		x.options.Logger.Info("output not saved", zap.Int("group", g.Number), zap.Error(err))
		return
	}
	for _, p := range u.parts {
		p.task.wasSaved(p.From + len(p.Output))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range u.failures {
		f.task.loggedFailures = max(f.task.loggedFailures, f.Count)
	}
}

// unsaved returns what was put out since the item was last saved.
func (t *task) unsaved() (queuer.Part, bool) {
	t.putMu.Lock()
	defer t.putMu.Unlock()
	p := queuer.Part{Job: t.key.ref.Job, Item: t.key.ref.Item, From: t.saved, Events: t.events, Last: t.last}
	p.Output = append(p.Output, t.output[t.saved:]...)
	return p, len(p.Output) > 0
}

func (t *task) wasSaved(bytes int) {
	t.putMu.Lock()
	defer t.putMu.Unlock()
	t.saved = max(t.saved, bytes)
}

// rest returns the output that is not saved, and after how many bytes it comes.
func (t *task) rest() (from int, output []byte) {
	t.putMu.Lock()
	defer t.putMu.Unlock()
	return t.saved, append([]byte(nil), t.output[t.saved:]...)
}
