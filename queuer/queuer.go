// Package queuer is the state of one group of batch jobs, as its log tells it.
//
// Applying a record more than once, or one that comes too late, changes nothing:
// the first acceptance of a job, the first result of an item and the first end
// count. So whoever does not know whether a record was committed may propose it
// again. Results keep their position and content for as long as the job is kept.
package queuer

import (
	"slices"
	"sync"

	"go.uber.org/zap"
)

// Result is a listed result.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Item   string
	Dead   bool
	Output []byte
}

// Ref names an item within a group.
type Ref struct {
	Job  string
	Item int
}

// Pending is an item that has no result.
type Pending struct {
	Ref
	// Of is the item's job; it must not be changed.
	Of *Job
	// Saved is what was saved of the item; its Output must not be changed.
	Saved Progress
}

// Progress is what an item has put out so far.
type Progress struct {
	Output []byte
	// Events is their number, Last the number of the last one.
	Events int
	Last   int64
	// Failures is how often the item has failed at servers.
	Failures int
}

// QueueKey names what may wait of a workspace on a route.
type QueueKey struct{ Workspace, Route string }

// String is the key as hosts tell one another.
func (k QueueKey) String() string { return k.Workspace + "\x00" + k.Route }

// kept is a job with what became of it. The Job is replaced, never changed, so
// that whoever runs an item may read it.
type kept struct {
	job     *Job
	results []Result
	// listed are the items' places in the job, in the order of results.
	listed []int
	done   []bool
	// saved is by the item's place; items without any are missing.
	saved map[int]Progress
	ended bool
	// news is closed and replaced with each result.
	news chan struct{}
}

func (k *kept) open() bool { return !k.ended && len(k.results) < len(k.job.Items) }

// jobs are the jobs of a group, by identifier.
type jobs map[string]*kept

// Queue implements mirrorer.Machine. It is safe for concurrent use.
type Queue struct {
	logger  *zap.Logger
	changed func()

	mu      sync.Mutex
	jobs    jobs
	serving bool
	// restoring is a checkpoint that has been read in part, of which left
	// records are to come.
	restoring jobs
	left      int
	// reserved are tokens of jobs whose acceptance is under way.
	reserved map[QueueKey]int64
}

// New returns an empty Queue. changed is called after each change.
func New(l *zap.Logger, changed func()) *Queue {
	return &Queue{logger: l, changed: changed, jobs: make(jobs), reserved: make(map[QueueKey]int64)}
}

// Reset implements mirrorer.Machine.
func (q *Queue) Reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.jobs, q.restoring, q.serving = make(jobs), nil, false
}

// Opened implements mirrorer.Machine.
func (q *Queue) Opened() {
	q.mu.Lock()
	q.serving = true
	q.mu.Unlock()
	q.changed()
}

// Ended implements mirrorer.Machine.
func (q *Queue) Ended() {
	q.mu.Lock()
	q.serving = false
	for _, k := range q.jobs {
		close(k.news)
		k.news = make(chan struct{})
	}
	q.mu.Unlock()
	q.changed()
}

// Apply implements mirrorer.Machine.
func (q *Queue) Apply(data []byte) {
	r, err := Decode(data)
	if err != nil {
		q.logger.Error("unreadable record in the log", zap.Error(err))
		return
	}
	q.mu.Lock()
	q.apply(r)
	q.mu.Unlock()
	q.changed()
}

func (q *Queue) apply(r Record) {
	if t, ok := r.(Restored); ok {
		q.restore(t)
		return
	}
	q.restoring = nil
	q.jobs.apply(r)
}

func (j jobs) apply(r Record) {
	switch t := r.(type) {
	case Accepted:
		if _, ok := j[t.Job.ID]; !ok {
			j[t.Job.ID] = &kept{job: &t.Job, done: make([]bool, len(t.Job.Items)), saved: make(map[int]Progress), news: make(chan struct{})}
		}
	case Finished:
		j.finish(t)
	case Ended:
		if k, ok := j[t.Job]; ok {
			k.ended = true
			clear(k.saved)
			k.dropBodies(func(int) bool { return true })
		}
	case Dropped:
		delete(j, t.Job)
	case Saved:
		for _, p := range t.Parts {
			j.save(p)
		}
		for _, f := range t.Failures {
			j.fail(f)
		}
	}
}

func (j jobs) save(p Part) {
	k, ok := j[p.Job]
	if !ok || k.ended || !k.goesOn(p.Item, p.From) {
		return
	}
	k.saved[p.Item] = Progress{Output: k.whole(p.Item, p.From, p.Output), Events: p.Events, Last: p.Last, Failures: k.saved[p.Item].Failures}
}

// fail notes how often an item has failed.
func (j jobs) fail(f Failure) {
	k, ok := j[f.Job]
	if !ok || k.ended || !k.goesOn(f.Item, 0) {
		return
	}
	p := k.saved[f.Item]
	p.Failures = max(p.Failures, f.Count)
	k.saved[f.Item] = p
}

// goesOn says whether output may follow the first from bytes of an item: whether
// the job has the item, without a result, and so much was saved of it.
func (k *kept) goesOn(item, from int) bool {
	return item >= 0 && item < len(k.done) && !k.done[item] && from >= 0 && from <= len(k.saved[item].Output)
}

// whole returns the first from bytes that were saved of an item, and more.
func (k *kept) whole(item, from int, more []byte) []byte {
	before := k.saved[item].Output
	return append(before[:min(from, len(before)):min(from, len(before))], more...)
}

func (j jobs) finish(f Finished) {
	k, ok := j[f.Job]
	if !ok || !k.goesOn(f.Item, f.From) {
		return
	}
	r := Result{Item: k.job.Items[f.Item].ID, Dead: f.Dead}
	if !f.Dead {
		r.Output = k.whole(f.Item, f.From, f.Output)
	}
	k.done[f.Item] = true
	delete(k.saved, f.Item)
	k.results, k.listed = append(k.results, r), append(k.listed, f.Item)
	k.dropBodies(func(i int) bool { return i == f.Item })
	close(k.news)
	k.news = make(chan struct{})
}

// dropBodies forgets the bodies of items that are not run any more.
func (k *kept) dropBodies(of func(item int) bool) {
	j := *k.job
	j.Items = slices.Clone(j.Items)
	for i := range j.Items {
		if of(i) {
			j.Items[i].Body = nil
		}
	}
	k.job = &j
}

// Serving says whether this host answers for the group.
func (q *Queue) Serving() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.serving
}

// Has says whether a job is kept, and whose it is.
func (q *Queue) Has(job string) (workspace string, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.jobs[job]
	if !ok {
		return "", false
	}
	return k.job.Workspace, true
}

// Open says whether a job may still get results.
func (q *Queue) Open(job string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.jobs[job]
	return ok && k.open()
}

// Results are the results of a job from a position on.
type Results struct {
	_       struct{} `cbor:",toarray"`
	Total   int
	Next    int
	Results []Result
}

// Results returns the results of a job from a position on, as many as fit into
// most bytes and one at least. news is closed when there are more; it is nil
// when no more will come.
func (q *Queue) Results(job string, from, most int) (r Results, news <-chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.jobs[job]
	if !ok {
		return Results{}, nil, false
	}
	r = Results{Total: len(k.job.Items), Next: from}
	bytes := 0
	for _, v := range k.results[min(from, len(k.results)):] {
		bytes += len(v.Output)
		if bytes > most && len(r.Results) > 0 {
			break
		}
		r.Results = append(r.Results, v)
		r.Next++
	}
	if k.open() {
		news = k.news
	}
	return r, news, true
}

// Body returns the body of an item that has no result and whose job is open.
func (q *Queue) Body(job, item string) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.jobs[job]
	if !ok || k.ended {
		return nil, false
	}
	for i := range k.job.Items {
		if k.job.Items[i].ID == item && !k.done[i] {
			return k.job.Items[i].Body, true
		}
	}
	return nil, false
}

// Pending lists the items that are to be run, if this host answers for them.
func (q *Queue) Pending() []Pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.serving {
		return nil
	}
	var out []Pending
	for id, k := range q.jobs {
		if !k.open() {
			continue
		}
		for i, done := range k.done {
			if !done {
				out = append(out, Pending{Ref: Ref{Job: id, Item: i}, Of: k.job, Saved: k.saved[i]})
			}
		}
	}
	return out
}

// Runs says whether an item is still to be run here.
func (q *Queue) Runs(r Ref) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.jobs[r.Job]
	return ok && q.serving && !k.ended && !k.done[r.Item]
}

// Waiting are the tokens of items without a result, by workspace and route,
// with those whose acceptance is under way.
func (q *Queue) Waiting() map[QueueKey]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[QueueKey]int64)
	if !q.serving {
		return out
	}
	for _, k := range q.jobs {
		if !k.open() {
			continue
		}
		key := QueueKey{Workspace: k.job.Workspace, Route: k.job.Route}
		for i, done := range k.done {
			if !done {
				out[key] += k.job.Items[i].Tokens
			}
		}
	}
	for key, n := range q.reserved {
		out[key] += n
	}
	return out
}

// Reserve counts the tokens of a job whose acceptance begins; the function that
// it returns ends that.
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

// Expired lists jobs that were submitted before an instant, in Unix
// milliseconds, and get no more results.
func (q *Queue) Expired(before int64) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []string
	for id, k := range q.jobs {
		if q.serving && !k.open() && k.job.Submitted < before {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
