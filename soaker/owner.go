package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/timer"
)

// ownedJobs makes the load submit jobs on a public route, and on one that is removed as soon as a
// job on it is complete.
func ownedJobs(s *soak) {
	s.load.jobRoutes = []standin.Route{standin.TemporaryBatch, standin.PublicBatch, standin.Batch}
	s.env.operator.SetExtraRoutes(standin.PublicBatch, standin.TemporaryBatch)
}

// nextJobRoute returns the route of the next job.
func (g *loadGenerator) nextJobRoute() standin.Route {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.jobRoutes {
		r := g.jobRoutes[0]
		g.jobRoutes = append(g.jobRoutes[1:], r)
		if !g.removed[r] {
			return r
		}
	}
	return standin.Batch
}

func (g *loadGenerator) isRemoved(r standin.Route) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.removed[r]
}

// complete reports whether the results of any job on a route have all been read.
func (g *loadGenerator) complete(r standin.Route) bool {
	for _, j := range g.acceptedJobs() {
		j.mu.Lock()
		done := j.Route == r && len(j.results) == len(j.Items)
		j.mu.Unlock()
		if done {
			return true
		}
	}
	return false
}

// configurationSettleTime is the time after which every undisturbed host follows a change of the
// configuration.
const configurationSettleTime = 2 * time.Second

// removeTemporaryRoute removes the temporary route once a job on it is complete, and waits until
// the hosts know. Items that it had left may be given up from then on.
func (s *soak) removeTemporaryRoute(ctx context.Context) {
	for !s.load.complete(standin.TemporaryBatch) {
		if !timer.Sleep(ctx, 50) {
			s.env.checker.report("accepted jobs complete", "none on the temporary route")
			return
		}
	}
	s.load.mu.Lock()
	s.load.removed = map[standin.Route]bool{standin.TemporaryBatch: true}
	s.load.mu.Unlock()
	s.env.operator.SetExtraRoutes(standin.PublicBatch)
	s.recordFault("remove the route of a complete job")
	if err := s.env.configure(ctx); err != nil {
		s.env.checker.report("the soak writes configurations", "%v", err)
	}
	time.Sleep(configurationSettleTime)
}

// readAsStranger reads a job with a key of the other workspace, or without a key.
func (g *loadGenerator) readAsStranger(ctx context.Context, c *standin.Caller, r *rand.Rand, j *job) {
	address, _, ok := g.env.pickHost(r)
	if !ok {
		return
	}
	request := j.Job
	request.Key = ""
	if r.IntN(2) == 0 {
		request.Key, _ = g.env.pickKey(r, greedyWorkspace)
	}
	if _, status, err := c.Read(ctx, address, request); err == nil && status == http.StatusOK {
		g.env.checker.report("jobs answer to their owner alone", "job %s was shown by %s to a caller with key %q", j.ID, address, request.Key)
	}
}

// checkRepeats submits every accepted job again, which must be accepted within jobBound.
func (s *soak) checkRepeats() {
	c, r := newCaller(), rand.New(rand.NewPCG(s.options.Seed, 5))
	end := time.Now().Add(jobBound)
	for _, j := range s.load.acceptedJobs() {
		status := 0
		for status != http.StatusAccepted && time.Now().Before(end) {
			address, _, ok := s.env.pickHost(r)
			if !ok {
				continue
			}
			request := j.Job
			request.Key, _ = s.env.pickKey(r, plainWorkspace)
			if !s.env.hasKey(plainWorkspace, request.Key) {
				continue // Without a route, a withdrawn key is answered 404 as for any request.
			}
			status, _ = c.Submit(context.Background(), address, request)
			if status == http.StatusNotFound || status == http.StatusConflict {
				break
			}
		}
		if status != http.StatusAccepted {
			s.env.checker.report("each repeat of an accepted job is accepted", "job %s on %s: status %d", j.ID, j.Route.Prefix, status)
		}
	}
}
