package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// patience is how long a caller waits for an answer.
	patience = 4 * time.Second
	// jobGap is the time between two batch jobs, jobItems their size.
	jobGap   = 700 * time.Millisecond
	jobItems = 4
	// workers are callers of the plain workspace, greedyWorkers of the one whose
	// quota they exceed.
	workers       = 8
	greedyWorkers = 3
)

// job is a batch job that a host accepted, with what was read of it.
type job struct {
	standin.Job
	mu   sync.Mutex
	seen []standin.Result
}

// load is callers that run until their context ends.
type load struct {
	world   *world
	running sync.WaitGroup

	mu   sync.Mutex
	jobs []*job
	next int
}

func newCaller() *standin.Caller {
	return &standin.Caller{Client: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
	}}}
}

// begin starts the callers.
func (l *load) begin(ctx context.Context, seed uint64) {
	for i := range workers {
		l.running.Go(func() { l.call(ctx, rand.New(rand.NewPCG(seed, uint64(i))), plain, 60) })
	}
	for i := range greedyWorkers {
		l.running.Go(func() { l.call(ctx, rand.New(rand.NewPCG(seed, uint64(100+i))), greedy, 25) })
	}
	l.running.Go(func() { l.submit(ctx, rand.New(rand.NewPCG(seed, 200))) })
	l.running.Go(func() { l.read(ctx, rand.New(rand.NewPCG(seed, 201))) })
}

func (l *load) id(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("%s%06x", prefix, l.next)
}

// call makes requests of a workspace with pauses of up to twice gap milliseconds.
func (l *load) call(ctx context.Context, r *rand.Rand, workspace string, gap int) {
	c := newCaller()
	routes := []standin.Route{standin.Resumable, standin.Streaming, standin.NonIdempotent, standin.Idempotent}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.IntN(2*gap)) * time.Millisecond)
		address, h, ok := l.world.pick(r)
		if !ok {
			continue
		}
		key, since := l.world.key(r, workspace)
		a := standin.Attempt{ID: l.id("r"), Key: key, Address: address, Route: routes[r.IntN(len(routes))]}
		a.Path = a.Route.Prefix + a.ID
		l.world.judge.begins(a)
		a = c.Do(context.Background(), a, []byte(a.ID), patience)
		held := l.world.holds(workspace, key) && a.Sent.Sub(since) > settleKeys
		calm := h.calmSince(a.Sent.Add(-settleHost)) && l.world.serversCalmSince(a.Sent)
		l.world.judge.ends(a, held, calm)
		if a.Status == 0 {
			l.world.avoid(address)
		}
	}
}

// submit submits jobs, each until a host accepts it.
func (l *load) submit(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(jobGap)
		key, _ := l.world.key(r, plain)
		j := standin.Job{ID: l.id("j"), Key: key}
		for i := range jobItems {
			j.Items = append(j.Items, fmt.Sprintf("%s-%d", j.ID, i))
		}
		for range 10 {
			address, _, ok := l.world.pick(r)
			if status, err := c.Submit(ctx, address, j); ok && err == nil && status == http.StatusAccepted {
				l.mu.Lock()
				l.jobs = append(l.jobs, &job{Job: j})
				l.mu.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
			j.Key, _ = l.world.key(r, plain)
		}
	}
}

func (l *load) accepted() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*job(nil), l.jobs...)
}

// read reads jobs at random hosts.
func (l *load) read(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(40 * time.Millisecond)
		if jobs := l.accepted(); len(jobs) > 0 {
			l.readOne(ctx, c, r, jobs[r.IntN(len(jobs))])
		}
	}
}

// readOne reads a job and checks it against what was read before; it returns
// whether all is listed.
func (l *load) readOne(ctx context.Context, c *standin.Caller, r *rand.Rand, j *job) bool {
	address, _, ok := l.world.pick(r)
	if !ok {
		return false
	}
	asked := j.Job
	asked.Key, _ = l.world.key(r, plain)
	j.mu.Lock()
	before := len(j.seen)
	j.mu.Unlock()
	results, status, err := c.Read(ctx, address, asked)
	if err != nil || status != http.StatusOK {
		if status == http.StatusNotFound {
			l.world.judge.breaks("accepted jobs are kept", "job %s is not known to %s", j.ID, address)
		}
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	l.check(j, before, results)
	return len(j.seen) == len(j.Items)
}

// check compares results with those that had been read before the question.
func (l *load) check(j *job, before int, results []standin.Result) {
	if len(results) < before {
		l.world.judge.breaks("results stay listed", "job %s lists %d results, listed %d before", j.ID, len(results), before)
	}
	for i, r := range results {
		switch {
		case i < len(j.seen) && r != j.seen[i]:
			l.world.judge.breaks("results keep place and content", "job %s at %d", j.ID, i)
		case i >= len(j.seen) && r != j.Wanted(r.ID):
			l.world.judge.breaks("results are the servers' own, whole", "job %s item %s: %s %q", j.ID, r.ID, r.State, r.Output)
		}
	}
	if len(results) > len(j.seen) {
		j.seen = results
	}
}
