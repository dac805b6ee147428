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

// part is one item's output that is not saved yet.
type part struct {
	task *task
	queuer.Part
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
	parts := make(map[int][]part)
	groups := make(map[int]Group)
	x.mu.Lock()
	for _, t := range x.tasks {
		if p, ok := t.unsaved(); ok {
			parts[t.group.Number] = append(parts[t.group.Number], part{task: t, Part: p})
			groups[t.group.Number] = t.group
		}
	}
	x.mu.Unlock()
	for n, list := range parts {
		x.saveGroup(ctx, groups[n], list)
	}
}

func (x *Executor) saveGroup(ctx context.Context, g Group, list []part) {
	var r queuer.Saved
	for _, p := range list {
		r.Parts = append(r.Parts, p.Part)
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
	for _, p := range list {
		p.task.wasSaved(p.From + len(p.Output))
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
