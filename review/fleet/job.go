//go:build review

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

// Jobs are the batch jobs that the client has had accepted.
type Jobs struct {
	fleet *Fleet
	mu    sync.Mutex
	list  []standin.Job
	last  int
}

// NewJobs returns a client of batch jobs without any.
func (f *Fleet) NewJobs() *Jobs { return &Jobs{fleet: f} }

// Submit submits a job with this number of items, at one entry host after the other, and
// reports whether it was answered 202.
func (j *Jobs) Submit(items, attempts int) bool {
	j.mu.Lock()
	j.last++
	job := standin.Job{ID: fmt.Sprintf("job%04d", j.last), Key: Key}
	first := j.last
	j.mu.Unlock()
	for i := range items {
		job.Items = append(job.Items, fmt.Sprintf("%s-item%d", job.ID, i))
	}
	entries := j.fleet.EntryHosts()
	for i := range attempts {
		h := entries[(first+i)%len(entries)]
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, err := j.fleet.Caller.Submit(ctx, h.Callers, job)
		cancel()
		j.fleet.Record.Log("%s (%d items) sent to %s: %d %v", job.ID, items, h.Name, status, err)
		if err == nil && status == http.StatusAccepted {
			j.mu.Lock()
			j.list = append(j.list, job)
			j.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// Accepted returns the accepted jobs.
func (j *Jobs) Accepted() []standin.Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]standin.Job(nil), j.list...)
}

// Complete reads every accepted job, again after each failure, until all are complete or
// the time is over. It returns what is wrong with each of the others.
func (j *Jobs) Complete(within time.Duration) []string {
	jobs := j.Accepted()
	wrong := make([]string, len(jobs))
	end := time.Now().Add(within)
	var reading sync.WaitGroup
	for i, job := range jobs {
		reading.Go(func() {
			for n := 0; ; n++ {
				if wrong[i] = j.read(job, n); wrong[i] == "" || time.Now().After(end) {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	reading.Wait()
	var out []string
	for _, w := range wrong {
		if w != "" {
			out = append(out, w)
		}
	}
	return out
}

// read reads a job once. It returns "" if all items are listed as completed with their
// whole output.
func (j *Jobs) read(job standin.Job, n int) string {
	entries := j.fleet.EntryHosts()
	h := entries[n%len(entries)]
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	results, status, err := j.fleet.Caller.Read(ctx, h.Callers, job)
	if err != nil || status != http.StatusOK {
		j.fleet.Record.Log("%s read at %s: %d %v", job.ID, h.Name, status, err)
		return fmt.Sprintf("%s cannot be read: %d %v", job.ID, status, err)
	}
	got := make(map[string]standin.Result)
	for _, r := range results {
		got[r.ID] = r
	}
	for _, item := range job.Items {
		if got[item] != job.ExpectedResult(item) {
			j.fleet.Record.Log("%s read at %s: %d of %d items listed", job.ID, h.Name, len(results), len(job.Items))
			return fmt.Sprintf("%s: %d of %d items are listed", job.ID, len(results), len(job.Items))
		}
	}
	j.fleet.Record.Log("%s read at %s: complete", job.ID, h.Name)
	return ""
}
