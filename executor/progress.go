package executor

import (
	"fmt"
	"sync"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/sequencer"
	"github.com/jackdawgate/jackdawgate/splitter"
)

const (
	// maxOutput bounds the output of an item, in bytes. An item that states its tokens has
	// maxTokenBytes for each of them, and minOutputLimit at least. Events are longer than their
	// tokens where servers encode each as an object with metadata.
	maxOutput      = 4 << 20
	maxTokenBytes  = 1 << 10
	minOutputLimit = 64 << 10
)

// outputLimit returns the bound on the output of an item that states this number of tokens, in
// bytes.
func outputLimit(tokens int64) int {
	if tokens <= 0 || tokens >= maxOutput/maxTokenBytes {
		return maxOutput
	}
	return max(minOutputLimit, int(tokens)*maxTokenBytes)
}

// outputTooLongError reports that the output of an item would exceed its bound. Limit is in bytes.
type outputTooLongError struct{ Limit int }

func (e *outputTooLongError) Error() string {
	return fmt.Sprintf("output exceeds %d bytes, the limit for this item", e.Limit)
}

// progress is the output of an item so far. It consists of whole events of the item's runs,
// numbered from 1 without gaps.
//
// The last event of a run counts only once the next one, or the end of the answer, has come. An
// event that lost a part and was completed by other bytes can have the right number, and such a
// run breaks off.
type progress struct {
	// limit bounds the output, in bytes. It does not change.
	limit int
	// memory is the account from which the output's memory is reserved. It is guarded by outputMu.
	memory *holder.Account

	// outputMu guards the fields below.
	outputMu sync.Mutex
	// output is the data of the events received, separated by line feeds, the unconfirmed one
	// included.
	output []byte
	// received is the number of the last event received. confirmed is that of the last one that
	// counts, which is also how many do, and confirmedBytes their length in output.
	received, confirmed int64
	confirmedBytes      int
	// saved is how many bytes of output are known to be in the log.
	saved int
	// generation counts how often the output was dropped. offered is set if the log may hold
	// output, stale if it may hold output that was dropped.
	generation     int
	offered, stale bool
}

// lastEvent returns the number of the last event that counts, or 0.
func (p *progress) lastEvent() int64 {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	return p.confirmed
}

// restore sets the output to that of the group's log. It returns false, and the item starts over,
// if that cannot be the first events of a run, or there is no memory for it. Earlier versions also
// saved data without a number, and runs that did not begin with the first event.
func (p *progress) restore(saved queuer.Progress) bool {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	p.offered = len(saved.Output) > 0 || saved.LastEvent > 0
	sound := int64(saved.Events) == saved.LastEvent && len(saved.Output) <= p.limit
	if !sound || p.growLocked(len(saved.Output)) != nil {
		p.dropLocked()
		return false
	}
	p.output = append(p.output, saved.Output...)
	p.received, p.saved = saved.LastEvent, len(saved.Output)
	p.confirmLocked()
	return true
}

// noMemoryError reports that there is no memory for more output on this host.
type noMemoryError struct{ Err error }

func (e *noMemoryError) Error() string { return "no memory for output: " + e.Err.Error() }

func (e *noMemoryError) Unwrap() error { return e.Err }

// growLocked makes room for more bytes of output. It returns a *noMemoryError if the host has no
// memory for them. The caller holds p.outputMu.
func (p *progress) growLocked(more int) error {
	need, before := len(p.output)+more, cap(p.output)
	if need <= before {
		return nil
	}
	after := max(need, min(2*before, p.limit))
	if err := p.memory.Reserve(int64(after - before)); err != nil {
		return &noMemoryError{Err: err}
	}
	p.output = append(make([]byte, 0, after), p.output...)
	return nil
}

// release gives the memory of the output back when the host has no more to do for the item.
func (p *progress) release() {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	p.offered = false
	p.dropLocked()
}

// drop discards the output, here and, with the next save, in the log.
func (p *progress) drop() {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	p.dropLocked()
}

// dropLocked is drop. The caller holds p.outputMu.
func (p *progress) dropLocked() {
	p.output, p.received, p.saved = nil, 0, 0
	p.memory.Release()
	p.confirmLocked()
	p.generation++
	p.stale = p.offered
}

// addEvent appends the data of the next event to the output. It returns an error of
// sequencer.Check if e is not the next event, an *outputTooLongError if the output would exceed its
// bound, and a *noMemoryError.
func (p *progress) addEvent(e splitter.Event) error {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	if err := sequencer.Check(e, p.received); err != nil || e.Filler {
		return err
	}
	if len(p.output)+len(e.Data) > p.limit {
		return &outputTooLongError{Limit: p.limit}
	}
	if err := p.growLocked(len(e.Data) + 1); err != nil {
		return err
	}
	p.confirmLocked()
	if p.received > 0 {
		p.output = append(p.output, '\n')
	}
	p.output = append(p.output, e.Data...)
	p.received = e.ID
	return nil
}

// confirm makes the last event received count, at the end of an answer.
func (p *progress) confirm() {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	p.confirmLocked()
}

func (p *progress) confirmLocked() { p.confirmed, p.confirmedBytes = p.received, len(p.output) }

// discardUnconfirmed drops the last event of a run that ended otherwise than with its answer.
func (p *progress) discardUnconfirmed() {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	p.output, p.received = p.output[:p.confirmedBytes], p.confirmed
}

// unsavedPart is a part of an item's output that is to be saved.
type unsavedPart struct {
	queuer.Part
	owner *progress
	// generation is that of the output.
	generation int
}

// unsaved returns the output of an item that counts and was not saved yet, or an empty one if
// the log may hold output that was dropped. Otherwise it returns false.
func (p *progress) unsaved(k key) (unsavedPart, bool) {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	r := queuer.Part{Job: k.ref.Job, Item: k.ref.Item, From: p.saved, Events: int(p.confirmed), LastEvent: p.confirmed}
	r.Output = append(r.Output, p.output[p.saved:p.confirmedBytes]...)
	p.offered = p.offered || len(r.Output) > 0
	return unsavedPart{Part: r, owner: p, generation: p.generation}, len(r.Output) > 0 || p.stale
}

// markSaved records that the log has the part.
func (u unsavedPart) markSaved() {
	p := u.owner
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	if u.generation == p.generation {
		p.saved, p.stale = max(p.saved, u.From+len(u.Output)), false
	}
}

// unsavedOutput returns the output that is not saved yet and its offset in bytes.
func (p *progress) unsavedOutput() (from int, output []byte) {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	return p.saved, append([]byte(nil), p.output[p.saved:p.confirmedBytes]...)
}

// wholeOutput returns the output that counts.
func (p *progress) wholeOutput() []byte {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	return append([]byte(nil), p.output[:p.confirmedBytes]...)
}
