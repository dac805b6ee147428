//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The machines of the site pistas-norte, in megabytes.
const (
	entryMemory = 134
	bulkMemory  = 154
)

// Callers' batch jobs in the case "jobs".
const (
	tenants     = 8
	itemsPerJob = 10
	itemTokens  = 1585
	// longestItem is how many events the longest item has by the site file, and longTokens its
	// tokens: those of its prompt and six for each event.
	longestItem = 379
	longTokens  = 350 + 6*longestItem
	// largeBody is the longest body of an item by the site file. Ten of them make a submission of
	// 3.9 MB, of 4.19 MB at most. plainBody is a usual one.
	largeBody = 290_000
	plainBody = 15_000
	senders   = 16
	// attempts is how often a job that was not accepted comes again, at another host.
	attempts = 5
	// finish is how long after the end of traffic the items may take.
	finish = 18 * time.Second
	// lastRead is when the reading of jobs ends at the latest, counted from the start.
	lastRead = 105 * time.Second
)

// startFleet starts the servers and hosts of a small deployment.
func (r *rig) startFleet(bulks, entries int, out output) error {
	if err := r.configure(); err != nil {
		return err
	}
	zones := []string{"cant-a", "cant-b", "cant-c", "cant-d"}
	for n := range 9 {
		if err := r.addServer(fmt.Sprintf("i-%d", n+1), zones[n%4], out); err != nil {
			return err
		}
	}
	for n := range bulks {
		if _, err := r.addHost("bulk", fmt.Sprintf("store-%s-1", zones[n%4]), zones[n%4], bulkMemory); err != nil {
			return err
		}
	}
	for n := range entries {
		if _, err := r.addHost("entry", fmt.Sprintf("front-%s-1", zones[n%4]), zones[n%4], entryMemory); err != nil {
			return err
		}
	}
	return r.waitReady()
}

// entries returns the hosts that take callers' requests.
func (r *rig) entries() []*host {
	var out []*host
	for _, h := range r.hosts {
		if h.role == "entry" {
			out = append(out, h)
		}
	}
	return out
}

// playJobs submits many jobs of legal size at once, inside the tenants' limits, and reads all
// accepted ones afterwards.
func playJobs(r *rig) int {
	out := output{events: longestItem, bytes: 55, gap: 20 * time.Millisecond}
	if err := r.startFleet(4, 3, out); err != nil {
		return r.cannotRun(err)
	}
	perTenant, body := 12, largeBody
	if !r.trouble {
		body = plainBody
	}
	accepted := r.submitAll(perTenant, body)
	traffic := time.Now()
	r.note("%d jobs accepted, with %d MB of bodies", len(accepted), len(accepted)*itemsPerJob*body>>20)
	left, stalled := r.readUntilDone(accepted)
	r.note("%d accepted jobs are not done %v after the end of traffic", len(left), time.Since(traffic).Round(time.Second))
	problems := r.ends()
	if len(left) > 0 && stalled {
		problems = append(problems, fmt.Sprintf("LOST: %d of %d accepted jobs are not done, or cannot be read", len(left), len(accepted)))
	}
	return r.verdict(problems)
}

// submitAll submits the jobs of all tenants, each up to attempts times, and returns those that were accepted.
func (r *rig) submitAll(perTenant, body int) []job {
	entries := r.entries()
	work := make(chan job)
	var mu sync.Mutex
	var accepted []job
	var answers sync.Map
	var done sync.WaitGroup
	for s := range senders {
		done.Go(func() {
			c := newClient(6 * time.Second)
			for j := range work {
				for attempt := range attempts {
					status, err := c.submit(entries[(s+attempt)%len(entries)].callers, j)
					n, _ := answers.LoadOrStore(status, new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
					if err != nil {
						r.note("job %s: %v", j.id, err)
					}
					if status == http.StatusAccepted {
						mu.Lock()
						accepted = append(accepted, j)
						mu.Unlock()
						break
					}
					time.Sleep(time.Duration(attempt+1) * 400 * time.Millisecond)
				}
			}
		})
	}
	for n := range perTenant {
		for t := range tenants {
			work <- newJob(fmt.Sprintf("%04x%04x%08x", t+1, n+1, (n+1)*2654435761%0xffffffff), fmt.Sprintf("key-%d", t+1), itemsPerJob, body, longTokens)
		}
	}
	close(work)
	done.Wait()
	answers.Range(func(status, n any) bool {
		r.note("answers to submissions with status %v: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	return accepted
}

// readUntilDone reads the jobs until all are done, until finish has passed without a further item,
// or until lastRead. It returns those that are not done, and whether finish has passed.
func (r *rig) readUntilDone(list []job) (left []job, stalled bool) {
	c := newClient(4 * time.Second)
	entries := r.entries()
	last, best, n := time.Now(), -1, 0
	for {
		left = nil
		items, unread := 0, 0
		for _, j := range list {
			n++
			next, total, ok := c.count(entries[n%len(entries)].callers, j)
			if !ok {
				unread++
			}
			items += next
			if total == 0 || next < total {
				left = append(left, j)
			}
			if time.Since(r.started) > lastRead {
				return left, false
			}
		}
		r.note("%d items are listed, %d jobs are not done, %d could not be read", items, len(left), unread)
		if items > best {
			best, last = items, time.Now()
		}
		if stalled = time.Since(last) > finish; len(left) == 0 || stalled {
			return left, stalled
		}
		time.Sleep(time.Second)
	}
}
