package scheduler

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/parser"
	"github.com/jackdawgate/jackdawgate/prefixer"
	"github.com/jackdawgate/jackdawgate/regulator"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/retrier"
	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/jackdawgate/jackdawgate/timer"
)

// jobPhase is the phase of a job at its owner.
type jobPhase uint8

const (
	// jobOpening means that the job needs a new open result segment: it was just
	// taken over, or its segment failed or is full.
	jobOpening jobPhase = iota
	// jobRunning means that items run and results are recorded.
	jobRunning
	// jobEnding means that no result will follow and the job's end is being
	// recorded.
	jobEnding
)

// jobItem is an item that has been read and has no recorded result yet.
type jobItem struct {
	state retrier.Item
	raw   []byte
	// resume is the data with which the next call continues an evicted one; nil
	// when the next call starts from the beginning.
	resume []byte
}

// pendingRecord is a record that is to be appended to the open result segment.
type pendingRecord struct {
	head tallier.Head
	data []byte
}

// job is the owner's state of a job. Only the job loop may access it;
// the goroutines that it starts receive copies.
type job struct {
	id       string
	phase    jobPhase
	busy     bool // a goroutine is opening or ending the job
	retryAt  timer.Millis
	failures int

	ctx    context.Context
	cancel context.CancelFunc
	// runs is the context of running items.
	runs     context.Context
	stopRuns context.CancelFunc

	manifest     bookkeeper.Manifest
	tally        *tallier.Tally
	writer       *replicator.Writer
	writtenBytes int64
	// processed has, for each result segment by name, how many of its records the
	// tally includes.
	processed map[string]uint64

	// active has the items that were started and have no recorded result, by index.
	active  map[uint64]*jobItem
	running int
	// waiting are the active items that are to be retried, each no earlier than
	// its NotBefore.
	waiting []*jobItem
	// queue has the items that were read and have not been started.
	queue []*jobItem
	// cursor is the index of the next item to read, and loading reports whether a
	// page is being read.
	cursor        uint64
	loading       bool
	loadNotBefore timer.Millis
	// failingSince is when opening the job, for whatever cause, or reading its items
	// began to fail; zero when the last attempt succeeded.
	failingSince timer.Millis

	pending      []pendingRecord
	pendingBytes int
	// appending is the number of records in the append in progress, zero for none.
	appending int

	window   regulator.Window
	meter    regulator.Meter
	lastPoll timer.Millis
	failure  string
}

// maxPendingBytes is the size of pending results above which no item is started,
// in bytes.
const maxPendingBytes = 8 << 20

func (j *job) object() coordinator.Object { return coordinator.JobObject(j.id) }

// startsNoItems reports whether no further item may be started: the job is cancelled or
// has failed.
func (j *job) startsNoItems() bool { return j.manifest.Job.CancelRequested != 0 || j.failure != "" }

// ready reports whether an item could be started now.
func (j *job) ready(now timer.Millis) bool {
	if j.phase != jobRunning || j.startsNoItems() || j.running >= j.window.Limit() || j.pendingBytes > maxPendingBytes {
		return false
	}
	return len(j.queue) > 0 || j.dueIndex(now) >= 0
}

// dueIndex returns the index in waiting of an item that may be retried now, or -1.
func (j *job) dueIndex(now timer.Millis) int {
	for i, a := range j.waiting {
		if a.state.NotBefore <= now {
			return i
		}
	}
	return -1
}

// takeNext removes and returns the item to start next. Retries precede items
// that have not been started. The caller must have checked ready.
func (j *job) takeNext(now timer.Millis) *jobItem {
	if i := j.dueIndex(now); i >= 0 {
		a := j.waiting[i]
		j.waiting = append(j.waiting[:i], j.waiting[i+1:]...)
		return a
	}
	a := j.queue[0]
	j.queue = j.queue[1:]
	j.active[a.state.Index] = a
	return a
}

// complete reports whether nothing remains but to end the job.
func (j *job) complete() bool {
	if j.phase != jobRunning || j.running > 0 || len(j.pending) > 0 {
		return false
	}
	return j.tally.Complete() || j.startsNoItems()
}

// needsPage reports whether more items should be read.
func (j *job) needsPage(now timer.Millis) bool {
	return j.phase == jobRunning && !j.loading && !j.startsNoItems() && now >= j.loadNotBefore &&
		len(j.queue) < j.window.Limit() && len(j.active) < 2*j.window.Max() && j.cursor < j.tally.Total
}

// skipRecorded moves the cursor to the next item without a recorded result.
func (j *job) skipRecorded() {
	for j.cursor < j.tally.Total && j.tally.Ended.Has(j.cursor) {
		j.cursor++
	}
}

// addPage queues the items of a page that still need a result.
func (j *job) addPage(records [][]byte) {
	for _, r := range records {
		index := j.cursor
		j.cursor++
		if j.tally.Ended.Has(index) || j.active[index] != nil {
			continue
		}
		j.queue = append(j.queue, &jobItem{raw: r, state: retrier.Item{Index: index, Suspects: j.tally.Suspects[index]}})
	}
}

// dropRecorded removes pending records and waiting items whose items already have a
// result in the tally. The first recorded result is the item's result.
func (j *job) dropRecorded() {
	kept := j.pending[:0]
	j.pendingBytes = 0
	for _, p := range j.pending {
		if p.head.Kind != tallier.KindSuspect && j.tally.Ended.Has(p.head.Item) {
			delete(j.active, p.head.Item)
			continue
		}
		kept = append(kept, p)
		j.pendingBytes += len(p.data)
	}
	j.pending = kept
	waiting := j.waiting[:0]
	for _, a := range j.waiting {
		if j.tally.Ended.Has(a.state.Index) {
			delete(j.active, a.state.Index)
			continue
		}
		waiting = append(waiting, a)
	}
	j.waiting = waiting
}

// statusManifest returns the manifest with the job's current counts, rate and
// expected end. Callers see this state. now is on the host's clock, wall in Unix
// milliseconds.
func (j *job) statusManifest(now, wall timer.Millis) bookkeeper.Manifest {
	m := j.manifest
	if j.tally == nil || m.Job.State.Ended() {
		m.Job.CountsKnown = true
		return m
	}
	m.Job.Counts, m.Job.CountsKnown = j.tally.Counts, true
	m.Job.Counts.Running = int64(j.running)
	m.Results = slices.Clone(m.Results)
	if n := len(m.Results) - 1; n >= 0 && !m.Results[n].Closed {
		m.Results[n].Records = j.processed[m.Results[n].Name]
	}
	m.OutputBytes, m.ErrorBytes = j.tally.OutputBytes, j.tally.ErrorBytes
	m.Job.ItemsPerSecond = j.meter.PerSecond
	if left := j.tally.Counts.Total - j.tally.Counts.Done - j.tally.Counts.Failed; left > 0 {
		// Without any progress the rate approaches 0, and the quotient infinity.
		if wait := float64(left) * 1000 / j.meter.PerSecond; wait < float64(maxEstimate) {
			m.Job.ExpectedEnd = wall + timer.Millis(wait)
		}
	}
	return m
}

// maxEstimate is the time to the expected end of a job from which it is not stated.
const maxEstimate = 365 * 24 * 3600 * timer.Second

// bytesPerToken is the number of bytes in a request that are estimated as one
// token.
const bytesPerToken = 4

// request returns the call of an item, and the item's custom_id. It fails if the
// item can't be decoded.
func (j *job) request(a *jobItem, timeout timer.Millis) (requester.Request, string, error) {
	var l parser.Line
	if err := json.Unmarshal(a.raw, &l); err != nil {
		return requester.Request{}, "", err
	}
	var b struct {
		parser.Body
		prefixer.Prompt
	}
	if err := json.Unmarshal(l.Body, &b); err != nil {
		return requester.Request{}, l.CustomID, err
	}
	return requester.Request{
		ID: itemID(j.id, a.state.Index), Workspace: j.manifest.Job.Workspace, Class: requester.Batch,
		Method: l.Method, Path: l.URL, Body: l.Body, Model: b.Model, Repeatable: true, Timeout: timeout,
		Headers:         []requester.Header{{Name: "Content-Type", Value: "application/json"}},
		Fingerprint:     xxhash.Sum64String(l.Method + " " + l.URL + "\n" + string(l.Body)),
		Prefix:          b.Hashes(b.Model),
		EstimatedTokens: int64(len(l.Body))/bytesPerToken + b.MaxTokens,
		Resume:          a.resume,
	}, l.CustomID, nil
}
