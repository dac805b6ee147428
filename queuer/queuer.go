// Package queuer holds the state of one group of batch jobs, which is derived from the
// group's log.
//
// A record that is applied more than once, or too late, changes nothing: only the first
// acceptance of a job, the first result of an item and the first end of a job count. A
// record can therefore be proposed again when it is unknown whether it was committed.
// Results keep their position and content for as long as the job is kept.
package queuer

import (
	"slices"
	"sync"

	"go.uber.org/zap"
)

// Result is the result of an item.
type Result struct {
	_    struct{} `cbor:",toarray"`
	Item string
	// Dead reports that the item was abandoned.
	Dead bool
	// Output is the item's output or, if it is dead, why, as far as that is known. One field
	// serves both, since older hosts read results of just these fields.
	Output []byte
}

// ItemRef identifies an item within a group by its job and its index in the job.
type ItemRef struct {
	Job  string
	Item int
}

// Pending is an item that has no result.
type Pending struct {
	ItemRef
	// Spec is the item's job, which must not be modified.
	Spec *Job
	// Progress is the saved progress of the item, whose Output must not be modified.
	Progress Progress
}

// Progress is the output of an unfinished item so far, and its failures.
type Progress struct {
	Output []byte
	// Events is the number of events in Output, LastEvent the number of the last event.
	Events    int
	LastEvent int64
	// Failures is how often the item has failed at backend servers.
	Failures int
}

// QueueKey identifies the queued items of a workspace on a route.
type QueueKey struct{ Workspace, Route string }

// String returns the key in the form that hosts exchange.
func (k QueueKey) String() string { return k.Workspace + "\x00" + k.Route }

// jobState is a job with its results and progress. The Job is replaced, never modified,
// so that those who run its items can read it without a lock.
type jobState struct {
	job     *Job
	results []Result
	// resultItems are the indexes of the items in the job, in the order of results.
	resultItems []int
	done        []bool
	// progress is by the index of the item; items without saved progress are missing.
	progress map[int]Progress
	ended    bool
	// updated is closed and replaced with each result, and when the host stops serving.
	updated chan struct{}
}

func (s *jobState) active() bool { return !s.ended && len(s.results) < len(s.job.Items) }

// jobTable holds the jobs of a group by their identifiers.
type jobTable map[string]*jobState

// Queue implements mirrorer.Machine. It is safe for concurrent use.
type Queue struct {
	logger  *zap.Logger
	changed func()

	mu      sync.Mutex
	jobs    jobTable
	serving bool
	// restoring is the state of a partially applied checkpoint, of which remaining
	// records are still to come.
	restoring jobTable
	remaining int
	// pieces are the pieces of a record, of which missing ones are still to come.
	pieces  []byte
	missing int
	// reserved are the tokens of jobs whose acceptance is in flight.
	reserved map[QueueKey]int64
	// restricted is set if any job was accepted with Regions since the last Reset.
	restricted bool
}

// New returns an empty Queue. changed is called after each change, without the lock.
func New(l *zap.Logger, changed func()) *Queue {
	return &Queue{logger: l, changed: changed, jobs: make(jobTable), reserved: make(map[QueueKey]int64)}
}

// Reset implements mirrorer.Machine.
func (q *Queue) Reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.jobs, q.restoring, q.pieces, q.serving, q.restricted = make(jobTable), nil, nil, false, false
}

// StartServing implements mirrorer.Machine.
func (q *Queue) StartServing() {
	q.mu.Lock()
	q.serving = true
	q.mu.Unlock()
	q.changed()
}

// StopServing implements mirrorer.Machine.
func (q *Queue) StopServing() {
	q.mu.Lock()
	q.serving = false
	for _, s := range q.jobs {
		close(s.updated)
		s.updated = make(chan struct{})
	}
	q.mu.Unlock()
	q.changed()
}

// Apply implements mirrorer.Machine.
func (q *Queue) Apply(data []byte) {
	r, err := Decode(data)
	if err != nil {
		q.logger.Error("cannot decode record of the group log", zap.Error(err))
		return
	}
	q.mu.Lock()
	if p, ok := r.(Piece); ok {
		r = q.join(p)
	} else {
		q.pieces = nil
	}
	if r != nil {
		q.apply(r)
	}
	q.mu.Unlock()
	q.changed()
}

// join returns the record whose last piece is p, or nil if it is not the last or earlier
// ones are missing.
func (q *Queue) join(p Piece) Record {
	switch {
	case p.First:
		q.pieces = []byte{}
	case q.pieces == nil || p.Left != q.missing-1:
		q.pieces = nil
		return nil
	}
	q.pieces, q.missing = append(q.pieces, p.Data...), p.Left
	if p.Left > 0 {
		return nil
	}
	r, err := Decode(q.pieces)
	q.pieces = nil
	if err != nil {
		q.logger.Error("cannot decode record of several entries", zap.Error(err))
		return nil
	}
	return r
}

func (q *Queue) apply(r Record) {
	if t, ok := r.(CheckpointRecord); ok {
		q.noteRegions(t.Record)
		q.restore(t)
		return
	}
	q.noteRegions(r)
	q.restoring = nil
	q.jobs.apply(r)
}

func (q *Queue) noteRegions(r Record) {
	if a, ok := r.(Accepted); ok && a.Regions != nil {
		q.restricted = true
	}
}

func (j jobTable) apply(r Record) {
	switch t := r.(type) {
	case Accepted:
		if _, ok := j[t.Job.ID]; !ok {
			j[t.Job.ID] = &jobState{job: t.job(), done: make([]bool, len(t.Job.Items)), progress: make(map[int]Progress), updated: make(chan struct{})}
		}
	case Finished:
		j.finish(t)
	case Ended:
		if s, ok := j[t.Job]; ok {
			s.ended = true
			clear(s.progress)
			s.dropBodies(func(int) bool { return true })
		}
	case Dropped:
		delete(j, t.Job)
	case Saved:
		for _, p := range t.Parts {
			j.save(p)
		}
		for _, f := range t.Failures {
			j.recordFailures(f)
		}
	}
}

func (j jobTable) save(p Part) {
	s, ok := j[p.Job]
	if !ok || s.ended || !s.canAppend(p.Item, p.From) {
		return
	}
	s.progress[p.Item] = Progress{Output: s.joinOutput(p.Item, p.From, p.Output), Events: p.Events, LastEvent: p.LastEvent, Failures: s.progress[p.Item].Failures}
}

// recordFailures records how often an item has failed.
func (j jobTable) recordFailures(f Failure) {
	s, ok := j[f.Job]
	if !ok || s.ended || !s.canAppend(f.Item, 0) {
		return
	}
	p := s.progress[f.Item]
	p.Failures = max(p.Failures, f.Count)
	s.progress[f.Item] = p
}

// canAppend reports whether output can be appended after the first from bytes of an
// item: the job must have the item, without a result, and at least from bytes of its
// output must have been saved.
func (s *jobState) canAppend(item, from int) bool {
	return item >= 0 && item < len(s.done) && !s.done[item] && from >= 0 && from <= len(s.progress[item].Output)
}

// joinOutput returns the first from bytes of the saved output of an item, followed by
// more.
func (s *jobState) joinOutput(item, from int, more []byte) []byte {
	before := s.progress[item].Output
	return append(before[:min(from, len(before)):min(from, len(before))], more...)
}

func (j jobTable) finish(f Finished) {
	s, ok := j[f.Job]
	if !ok || !s.canAppend(f.Item, f.From) {
		return
	}
	r := Result{Item: s.job.Items[f.Item].ID, Dead: f.Dead, Output: []byte(f.Reason)}
	if !f.Dead {
		r.Output = s.joinOutput(f.Item, f.From, f.Output)
	}
	s.done[f.Item] = true
	delete(s.progress, f.Item)
	s.results, s.resultItems = append(s.results, r), append(s.resultItems, f.Item)
	s.dropBodies(func(i int) bool { return i == f.Item })
	close(s.updated)
	s.updated = make(chan struct{})
}

// dropBodies discards the bodies of the items for which drop returns true; these are
// not run any more.
func (s *jobState) dropBodies(drop func(item int) bool) {
	j := *s.job
	j.Items = slices.Clone(j.Items)
	for i := range j.Items {
		if drop(i) {
			j.Items[i].Body = nil
		}
	}
	s.job = &j
}

// Serving reports whether this host serves the group.
func (q *Queue) Serving() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.serving
}

// Workspace returns the workspace of a job, and whether the job is kept.
func (q *Queue) Workspace(job string) (workspace string, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.jobs[job]
	if !ok {
		return "", false
	}
	return s.job.Workspace, true
}

// MayBeRestricted reports whether any job that is kept may have Regions.
func (q *Queue) MayBeRestricted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.restricted
}

// Jobs returns all jobs that are kept, which must not be modified.
func (q *Queue) Jobs() []*Job {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]*Job, 0, len(q.jobs))
	for _, s := range q.jobs {
		out = append(out, s.job)
	}
	return out
}

// Active reports whether a job can still get results.
func (q *Queue) Active(job string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.jobs[job]
	return ok && s.active()
}

// Results are results of a job from a position on. Total is the number of the job's
// items, Next the position after the last of Results.
type Results struct {
	_       struct{} `cbor:",toarray"`
	Total   int
	Next    int
	Results []Result
}

// Results returns the results of a job from a position on, as many as fit into maxBytes
// but at least one. updated is closed when there are more or the host stops serving; it
// is nil when no more will come.
func (q *Queue) Results(job string, from, maxBytes int) (r Results, updated <-chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.jobs[job]
	if !ok {
		return Results{}, nil, false
	}
	r = Results{Total: len(s.job.Items), Next: from}
	bytes := 0
	for _, v := range s.results[min(from, len(s.results)):] {
		bytes += len(v.Output)
		if bytes > maxBytes && len(r.Results) > 0 {
			break
		}
		r.Results = append(r.Results, v)
		r.Next++
	}
	if s.active() {
		updated = s.updated
	}
	return r, updated, true
}

// Body returns the body of an item that has no result and whose job has not ended.
func (q *Queue) Body(job, item string) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.jobs[job]
	if !ok || s.ended {
		return nil, false
	}
	for i := range s.job.Items {
		if s.job.Items[i].ID == item && !s.done[i] {
			return s.job.Items[i].Body, true
		}
	}
	return nil, false
}

// Pending returns the items that are to be run, if this host serves the group.
func (q *Queue) Pending() []Pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.serving {
		return nil
	}
	var out []Pending
	for id, s := range q.jobs {
		if !s.active() {
			continue
		}
		for i, done := range s.done {
			if !done {
				out = append(out, Pending{ItemRef: ItemRef{Job: id, Item: i}, Spec: s.job, Progress: s.progress[i]})
			}
		}
	}
	return out
}

// Runnable reports whether an item is still to be run by this host.
func (q *Queue) Runnable(r ItemRef) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.jobs[r.Job]
	return ok && q.serving && !s.ended && !s.done[r.Item]
}

// WaitingTokens returns the tokens of the items without a result, by workspace and route,
// including reserved ones. It is empty unless this host serves the group.
func (q *Queue) WaitingTokens() map[QueueKey]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[QueueKey]int64)
	if !q.serving {
		return out
	}
	for _, s := range q.jobs {
		if !s.active() {
			continue
		}
		key := QueueKey{Workspace: s.job.Workspace, Route: s.job.Route}
		for i, done := range s.done {
			if !done {
				out[key] += s.job.Items[i].Tokens
			}
		}
	}
	for key, n := range q.reserved {
		out[key] += n
	}
	return out
}

// Reserve counts the tokens of a job in WaitingTokens while its acceptance is in flight.
// The returned function ends the reservation.
func (q *Queue) Reserve(key QueueKey, tokens int64) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserved[key] += tokens
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.reserved[key] -= tokens; q.reserved[key] == 0 {
			delete(q.reserved, key)
		}
	}
}

// Expired returns the jobs that were submitted before the given time, in Unix
// milliseconds, and get no more results. It returns none unless this host serves the
// group.
func (q *Queue) Expired(before int64) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for id, s := range q.jobs {
		if q.serving && !s.active() && s.job.Submitted < before {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
