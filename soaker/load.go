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
	// callTimeout is how long a caller waits for a response.
	callTimeout = 4 * time.Second
	// jobInterval is the pause between two batch jobs, itemsPerJob their size.
	jobInterval = 700 * time.Millisecond
	itemsPerJob = 4
	// plainCallers is the number of callers in plainWorkspace, greedyCallers that in
	// greedyWorkspace, whose quota they exceed.
	plainCallers  = 8
	greedyCallers = 3
)

// job is a batch job that a host accepted, with the longest list of results that was
// read of it.
type job struct {
	standin.Job
	mu      sync.Mutex
	results []standin.Result
}

// loadGenerator runs callers, each in a goroutine, until their context ends.
type loadGenerator struct {
	env *environment
	wg  sync.WaitGroup

	mu     sync.Mutex
	jobs   []*job
	lastID int
	// jobRoutes are the routes on which jobs are submitted in turn; Batch if there are none.
	jobRoutes []standin.Route
	// removed are routes that the configuration lacks, or will soon.
	removed map[standin.Route]bool
}

func newCaller() *standin.Caller {
	return &standin.Caller{Client: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
	}}}
}

// start starts the callers: those that send online requests, one that submits batch
// jobs, and one that reads their results.
func (g *loadGenerator) start(ctx context.Context, seed uint64) {
	for i := range plainCallers {
		g.wg.Go(func() { g.sendRequests(ctx, rand.New(rand.NewPCG(seed, uint64(i))), plainWorkspace, 60) })
	}
	for i := range greedyCallers {
		g.wg.Go(func() { g.sendRequests(ctx, rand.New(rand.NewPCG(seed, uint64(100+i))), greedyWorkspace, 25) })
	}
	g.wg.Go(func() { g.submitJobs(ctx, rand.New(rand.NewPCG(seed, 200))) })
	g.wg.Go(func() { g.readJobs(ctx, rand.New(rand.NewPCG(seed, 201))) })
}

func (g *loadGenerator) nextID(prefix string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	return fmt.Sprintf("%s%06x", prefix, g.lastID)
}

// sendRequests sends requests of a workspace on random routes until ctx ends. The
// pause before each is random, of less than twice meanPauseMS.
func (g *loadGenerator) sendRequests(ctx context.Context, r *rand.Rand, workspace string, meanPauseMS int) {
	c := newCaller()
	routes := []standin.Route{standin.Resumable, standin.Streaming, standin.NonIdempotent, standin.Idempotent}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.IntN(2*meanPauseMS)) * time.Millisecond)
		address, h, ok := g.env.pickHost(r)
		if !ok {
			continue
		}
		key, since := g.env.pickKey(r, workspace)
		a := standin.Attempt{ID: g.nextID("r"), Key: key, Address: address, Route: routes[r.IntN(len(routes))]}
		a.Path = a.Route.Prefix + a.ID
		g.env.checker.attemptStarted(a)
		a = c.Do(context.Background(), a, []byte(a.ID), callTimeout)
		keyInForce := g.env.hasKey(workspace, key) && a.Sent.Sub(since) > keySettleTime
		undisturbed := h.undisturbedSince(a.Sent.Add(-hostSettleTime)) && g.env.serversUndisturbedSince(a.Sent)
		g.env.checker.attemptEnded(a, keyInForce, undisturbed)
		if a.Status == 0 {
			g.env.avoid(address)
		}
	}
}

// attempt sends one request to a random host, with a prompt of the given parts and one of
// its own if there are any. It returns the host and false if there is none. The checker
// does not hear of it.
func (g *loadGenerator) attempt(c *standin.Caller, r *rand.Rand, idPrefix string, route standin.Route, parts ...string) (standin.Attempt, *host, bool) {
	address, h, ok := g.env.pickHost(r)
	if !ok {
		return standin.Attempt{}, nil, false
	}
	key, _ := g.env.pickKey(r, plainWorkspace)
	a := standin.Attempt{ID: g.nextID(idPrefix), Key: key, Address: address, Route: route}
	a.Path = route.Prefix + a.ID
	if len(parts) > 0 {
		a.Prompt = append(parts, a.ID)
	}
	a = c.Do(context.Background(), a, []byte(a.ID), callTimeout)
	if a.Status == 0 {
		g.env.avoid(address)
	}
	return a, h, true
}

// submitJobs submits jobs until ctx ends. It tries each at most 10 times, until a
// host accepts it.
func (g *loadGenerator) submitJobs(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(jobInterval)
		key, _ := g.env.pickKey(r, plainWorkspace)
		j := standin.Job{ID: g.nextID("j"), Key: key, Route: g.nextJobRoute()}
		for i := range itemsPerJob {
			j.Items = append(j.Items, fmt.Sprintf("%s-%d", j.ID, i))
		}
		for range 10 {
			address, _, ok := g.env.pickHost(r)
			if status, err := c.Submit(ctx, address, j); ok && err == nil && status == http.StatusAccepted {
				g.mu.Lock()
				g.jobs = append(g.jobs, &job{Job: j})
				g.mu.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
			j.Key, _ = g.env.pickKey(r, plainWorkspace)
		}
	}
}

func (g *loadGenerator) acceptedJobs() []*job {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*job(nil), g.jobs...)
}

// readJobs reads random jobs at random hosts until ctx ends.
func (g *loadGenerator) readJobs(ctx context.Context, r *rand.Rand) {
	c := newCaller()
	for ctx.Err() == nil {
		time.Sleep(40 * time.Millisecond)
		if jobs := g.acceptedJobs(); len(jobs) > 0 {
			j := jobs[r.IntN(len(jobs))]
			g.readJob(ctx, c, r, j)
			g.readAsStranger(ctx, c, r, j)
		}
	}
}

// readJob reads a job's results at a random host and checks them against those read
// before. It reports whether the results of all items have been listed.
func (g *loadGenerator) readJob(ctx context.Context, c *standin.Caller, r *rand.Rand, j *job) bool {
	address, _, ok := g.env.pickHost(r)
	if !ok {
		return false
	}
	request := j.Job
	request.Key, _ = g.env.pickKey(r, plainWorkspace)
	j.mu.Lock()
	before := len(j.results)
	j.mu.Unlock()
	results, status, err := c.Read(ctx, address, request)
	if err != nil || status != http.StatusOK {
		if status == http.StatusNotFound {
			g.env.checker.report("accepted jobs are kept", "job %s is unknown at %s", j.ID, address)
		}
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	g.checkResults(j, before, results)
	return len(j.results) == len(j.Items)
}

// checkResults compares results with those read before. The argument before is how
// many had been read when the request was sent. The caller holds j.mu.
func (g *loadGenerator) checkResults(j *job, before int, results []standin.Result) {
	if len(results) < before {
		g.env.checker.report("results stay listed", "job %s lists %d results, fewer than %d before", j.ID, len(results), before)
	}
	for i, r := range results {
		switch {
		case i < len(j.results) && r != j.results[i]:
			g.env.checker.report("listed results keep their position and content", "job %s at position %d", j.ID, i)
		case i >= len(j.results) && r.Dead() && g.isRemoved(j.Route):
		case i >= len(j.results) && r != j.ExpectedResult(r.ID):
			g.env.checker.report("results are complete and as servers sent them", "job %s item %s: state %s, output %q", j.ID, r.ID, r.State, r.Output)
		}
	}
	if len(results) > len(j.results) {
		j.results = results
	}
}
