//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// logMemory logs the memory of all processes.
func (w *world) logMemory(when string) {
	w.mu.Lock()
	hosts := w.hosts
	w.mu.Unlock()
	for _, h := range hosts {
		now, peak := h.memoryMB()
		w.logf("%s: %s uses %.0f MB, at most %.0f MB, of %d MB", when, h.name, now, peak, h.machine.memoryMB)
	}
}

// enforceMemory kills processes that use more memory than their machine has, as the platform does,
// and starts them again.
func (w *world) enforceMemory() {
	for _, h := range append(w.withRole(entryRole), w.withRole(bulkRole)...) {
		go h.enforceMemory()
	}
}

func (h *host) enforceMemory() {
	for {
		select {
		case <-h.world.ctx.Done():
			return
		case <-time.After(memoryInterval):
		}
		now, _ := h.memoryMB()
		if now <= float64(h.machine.memoryMB) {
			continue
		}
		h.world.logf("%s uses %.0f MB of %d MB: killed by the platform", h.name, now, h.machine.memoryMB)
		h.kill()
		h.mu.Lock()
		h.overKills++
		h.mu.Unlock()
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.world.logf("cannot start %s: %v", h.name, err)
		}
	}
}

// endsForFault and machinesForFault are how often processes end by themselves on how many machines
// in a fault by the rules: three times on a tenth of the machines, two at least.
const (
	endsForFault     = 3
	machinesForFault = 2
)

// isFault reports whether processes ended by themselves often enough for a fault. Those that used
// more memory than their machines have count.
func (w *world) isFault() bool {
	w.mu.Lock()
	hosts := w.hosts
	w.mu.Unlock()
	machines := 0
	for _, h := range hosts {
		h.mu.Lock()
		n := h.overKills + h.ownEnds
		h.mu.Unlock()
		if n > 0 {
			w.logf("processes of %s that ended, by their memory or by themselves: %d", h.name, n)
		}
		if n >= endsForFault {
			machines++
		}
	}
	w.logf("machines with %d such ends or more: %d", endsForFault, machines)
	return machines >= machinesForFault
}

// memoryInterval is how often the memory of a process is looked at, restartDelay how long after its
// end it is started again.
const (
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
)

// sendersAtOnce is how many bodies are sent to a host at once, roundPause the time between two rounds.
const (
	sendersAtOnce = 2
	roundPause    = 4 * time.Second
)

// manyItems has clients send batch jobs of legal size that list far too many items.
func manyItems(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(36, 60, 4*time.Millisecond, false); err != nil {
		return false, err
	}
	w.logMemory("before")
	w.enforceMemory()
	const length = 4 << 20
	body := []byte(`{"items":[`)
	if trouble {
		for len(body)+len("{},{}]}") < length {
			body = append(body, "{},"...)
		}
		body = append(body, "{}]}"...)
	} else {
		// A body of the same length with one item.
		body = append(body, `{"id":"e5b2","path":"`+batchPrefix+`big/e5b2","headers":{},"tokens":900,"body":"`...)
		fill := (length - len(body) - len(`"}]}`)) / 4 * 4
		body = append(body, bytes.Repeat([]byte("A"), fill)...)
		body = append(body, `"}]}`...)
	}
	targets := w.entries()[:machinesForFault]
	asked, cut := w.askAround(targets[0])
	for round := range endsForFault {
		var all sync.WaitGroup
		for _, h := range targets {
			for n := range sendersAtOnce {
				all.Go(func() {
					job := fmt.Sprintf("b1%s%x%x", h.name, round, n)
					ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
					defer cancel()
					a, err := call(ctx, http.MethodPost, h.callers, batchPrefix+job, job, officeKey, body, map[string]string{"Content-Type": "application/json"})
					w.logf("body of %d bytes sent to %s as job %s: status %d %q, error %v", len(body), h.name, job, a.status, a.body, err)
				})
			}
		}
		all.Wait()
		time.Sleep(roundPause)
		w.logMemory(fmt.Sprintf("after round %d", round+1))
	}
	w.logf("ordinary requests at %s meanwhile: %d, without an answer: %d", targets[0].name, asked.Load(), cut.Load())
	return w.isFault(), nil
}

// askAround sends ordinary requests to a host until the world ends. It counts them, and those
// that got no answer of 200.
func (w *world) askAround(h *host) (asked, cut *atomic.Int64) {
	asked, cut = new(atomic.Int64), new(atomic.Int64)
	for n := range 8 {
		go func() {
			for i := 0; w.ctx.Err() == nil; i++ {
				status, err := w.ask(h.callers, fmt.Sprintf("e%02x%06x", n, i), depotKey, 4*time.Second)
				if w.ctx.Err() != nil {
					return
				}
				asked.Add(1)
				if err != nil || status != http.StatusOK {
					cut.Add(1)
					w.logf("ordinary request at %s: status %d, error %v", h.name, status, err)
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	return asked, cut
}

// Sizes and times of manyLargeJobs.
const (
	largeJobs      = 100
	largeItems     = 10
	largeItemBytes = 300 * 1000
	smallItemBytes = 1500
	// acceptTime is how long clients try to hand a job in, doneTime how long they wait for its
	// results after that.
	acceptTime = 30 * time.Second
	doneTime   = 50 * time.Second
)

// manyLargeJobs has clients send many batch jobs of legal size at once, and read their results.
func manyLargeJobs(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(36, 60, 30*time.Millisecond, false); err != nil {
		return false, err
	}
	w.logMemory("before")
	w.enforceMemory()
	size := largeItemBytes
	if !trouble {
		size = smallItemBytes
	}
	var mu sync.Mutex
	accepted := make(map[string]string)
	var all sync.WaitGroup
	for n := range largeJobs {
		all.Go(func() {
			job := fmt.Sprintf("c1%04x", n)
			key := []string{officeKey, depotKey}[n%2]
			if w.handIn(job, key, newItems(job, largeItems, size, 900), n, acceptTime) {
				mu.Lock()
				defer mu.Unlock()
				accepted[job] = key
			}
		})
	}
	all.Wait()
	w.logMemory("all jobs answered")
	w.logf("%d of %d jobs were accepted", len(accepted), largeJobs)
	undone := 0
	until := time.Now().Add(doneTime)
	for job, key := range accepted {
		if !w.isDone(job, key, largeItems, until) {
			w.logf("job %s was accepted and is not complete", job)
			undone++
		}
	}
	w.logf("%d accepted jobs are not complete", undone)
	w.logMemory("at the end")
	return w.isFault() || undone > 0, nil
}

// handIn submits a job until it is accepted, as clients do: after a refusal or without an answer
// again at another host. It reports whether the job was accepted in time.
func (w *world) handIn(job, key string, items []item, first int, within time.Duration) bool {
	entries := w.entries()
	until := time.Now().Add(within)
	for n := first; time.Now().Before(until); n++ {
		a, err := w.submit(entries[n%len(entries)].callers, job, key, items, 4*time.Second)
		if err == nil && a.status == http.StatusAccepted {
			return true
		}
		time.Sleep(max(a.retryAfter, 200*time.Millisecond))
	}
	return false
}

// isDone reports whether all results of a job come before the given time.
func (w *world) isDone(job, key string, items int, until time.Time) bool {
	for n := 0; ; n++ {
		entries := w.entries()
		r, status, err := w.read(entries[n%len(entries)].callers, job, key, items-1)
		if err == nil && status == http.StatusOK && len(r.Results) == 1 {
			return true
		}
		if time.Now().After(until) {
			w.logf("job %s: last answer %d, error %v, next %d", job, status, err, r.Next)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}
