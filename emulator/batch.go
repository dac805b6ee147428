package emulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

// sequence is the state of one call in the batch.
type sequence struct {
	id string
	// promptLeft is the number of prompt tokens that are still to be processed.
	promptLeft int
	// blocks are the prompt's prefix blocks, set to nil once they are cached.
	blocks []uint64
	// generated is the number of tokens of the answer so far, including those
	// before the resume point. The sequence ends when it reaches target.
	generated int
	target    int
	// progress holds at most one signal, which is sent when generated has
	// increased or the sequence has ended.
	progress chan struct{}
	ended    bool
	aborted  bool
}

// sequenceState is a copy of the state of a sequence for the goroutine that
// answers its call.
type sequenceState struct {
	generated int
	ended     bool
	// aborted reports that the sequence ended before its answer was complete.
	aborted bool
}

// batch runs an engine's sequences in a single loop. A step generates one token
// for each running sequence whose prompt has been processed. Slots are assigned
// in order of arrival; there are no priorities.
type batch struct {
	options      EngineOptions
	clock        timer.Clock
	whenUnfrozen func() <-chan struct{}
	wake         chan struct{}

	mu          sync.Mutex
	waiting     []*sequence
	running     []*sequence
	cache       *prefixCache
	loadSamples []loadSample
}

// loadSample is the load from a point in time until the next sample.
type loadSample struct {
	at   timer.Millis
	load loadCounts
}

// loadCounts are the numbers of running and waiting sequences and of cached
// blocks.
type loadCounts struct {
	running, waiting, blocks int
}

func newBatch(o EngineOptions, frozen func() <-chan struct{}) *batch {
	return &batch{
		options:      o,
		clock:        timer.System(),
		whenUnfrozen: frozen,
		wake:         make(chan struct{}, 1),
		cache:        newPrefixCache(o.CacheBlocks, o.CacheEventGap),
	}
}

// newSequence returns a sequence whose answer starts at token from. The tokens
// before it are processed as a part of the prompt.
func newSequence(id, model, prompt string, from, want int) *sequence {
	return &sequence{
		id:         id,
		promptLeft: PromptTokens(prompt) + from,
		blocks:     PrefixBlocks(model, prompt),
		generated:  from,
		target:     max(want, from),
		progress:   make(chan struct{}, 1),
	}
}

// add appends sq to the queue. It returns false when the queue is full.
func (b *batch) add(sq *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := len(b.running) >= b.options.Slots
	if full && b.options.MaxWaiting > 0 && len(b.waiting) >= b.options.MaxWaiting {
		return false
	}
	b.waiting = append(b.waiting, sq)
	b.recordLoad()
	signal(b.wake)
	return true
}

// remove aborts sq. It has no effect if sq has ended.
func (b *batch) remove(sq *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(sq, true)
}

// cancel aborts the sequences with the given identifier and returns their
// number.
func (b *batch) cancel(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, sq := range slices.Concat(b.running, b.waiting) {
		if sq.id == id {
			b.end(sq, true)
			n++
		}
	}
	return n
}

// reset aborts all sequences and clears the cache.
func (b *batch) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sq := range slices.Concat(b.running, b.waiting) {
		b.end(sq, true)
	}
	b.cache.clear(b.clock.Now())
}

// end removes sq from the batch. The caller must hold b.mu.
func (b *batch) end(sq *sequence, lost bool) {
	if sq.ended {
		return
	}
	sq.ended, sq.aborted = true, lost
	same := func(o *sequence) bool { return o == sq }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.recordLoad()
	signal(sq.progress)
}

// state returns a copy of the state of sq.
func (b *batch) state(sq *sequence) sequenceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return sequenceState{generated: sq.generated, ended: sq.ended, aborted: sq.aborted}
}

// signal sends to c unless its buffer is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run executes steps until ctx is done.
func (b *batch) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-b.whenUnfrozen():
		case <-ctx.Done():
			return
		}
		d, ok := b.beginStep()
		if !ok {
			select {
			case <-b.wake:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-time.After(d):
			b.finishStep()
		case <-ctx.Done():
		}
	}
}

// beginStep assigns free slots, processes prompt tokens and returns the duration
// of the step. It returns false when no sequence is running.
func (b *batch) beginStep() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 && len(b.running) < b.options.Slots {
		sq := b.waiting[0]
		b.waiting = b.waiting[1:]
		sq.promptLeft = max(sq.promptLeft-b.cache.match(sq.blocks)*BlockTokens, 1)
		b.running = append(b.running, sq)
	}
	if len(b.running) == 0 {
		return 0, false
	}
	b.recordLoad()
	read := 0
	for _, sq := range b.running {
		n := min(sq.promptLeft, b.options.PrefillTokensPerStep-read)
		sq.promptLeft -= n
		read += n
	}
	micros := b.options.BaseStepMicros + b.options.CallStepMicros*len(b.running) + b.options.PrefillMicros*read
	return time.Duration(micros) * time.Microsecond, true
}

// finishStep generates one token for each running sequence whose prompt has been
// processed.
func (b *batch) finishStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sq := range slices.Clone(b.running) {
		if sq.promptLeft > 0 {
			continue
		}
		if sq.blocks != nil {
			b.cache.store(sq.blocks, b.clock.Now())
			sq.blocks = nil
		}
		sq.generated = min(sq.generated+1, sq.target)
		if sq.generated == sq.target {
			b.end(sq, false)
		}
		signal(sq.progress)
	}
}

// recordLoad records the current load for delayed reports and discards samples
// that are no longer needed. The caller must hold b.mu.
func (b *batch) recordLoad() {
	now := b.clock.Now()
	s := loadSample{at: now, load: loadCounts{running: len(b.running), waiting: len(b.waiting), blocks: b.cache.recency.Len()}}
	if n := len(b.loadSamples); n > 0 && b.loadSamples[n-1].at == now {
		b.loadSamples[n-1] = s
		return
	}
	b.loadSamples = append(b.loadSamples, s)
	old := 0
	for old+1 < len(b.loadSamples) && b.loadSamples[old+1].at <= now-b.options.LoadLag {
		old++
	}
	b.loadSamples = b.loadSamples[old:]
}

// load returns the load as it was LoadLag ago.
func (b *batch) load() loadCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.clock.Now() - b.options.LoadLag
	var out loadCounts
	for _, s := range b.loadSamples {
		if s.at > until {
			break
		}
		out = s.load
	}
	return out
}

// events returns the published cache events with numbers greater than n.
func (b *batch) events(n int) []CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cache.eventsAfter(n, b.clock.Now()-b.options.CacheEventLag)
}
