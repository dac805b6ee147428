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

// overMemory logs the memory of all processes, and reports whether one has used more than its
// machine has, which is when the platform kills it, or has ended by itself.
func (w *world) overMemory(when string) bool {
	over := false
	w.mu.Lock()
	hosts := w.hosts
	w.mu.Unlock()
	for _, h := range hosts {
		now, peak := h.memoryMB()
		w.logf("%s: %s uses %.0f MB, at most %.0f MB, of %d MB", when, h.name, now, peak, h.machine.memoryMB)
		h.mu.Lock()
		over = over || peak > float64(h.machine.memoryMB) || h.endedByItself
		h.mu.Unlock()
	}
	return over
}

// enforceMemory kills processes that use more memory than their machine has, as the platform does,
// and starts them again.
func (w *world) enforceMemory() {
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		hosts := w.hosts
		w.mu.Unlock()
		for _, h := range hosts {
			now, _ := h.memoryMB()
			if now <= float64(h.machine.memoryMB) {
				continue
			}
			w.logf("%s uses %.0f MB of %d MB: killed by the platform", h.name, now, h.machine.memoryMB)
			h.kill()
			w.mu.Lock()
			w.overKills++
			w.mu.Unlock()
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				w.logf("cannot start %s: %v", h.name, err)
			}
		}
	}
}

// kills returns how many processes were killed because of their memory.
func (w *world) kills() int {
	w.mu.Lock()
	n := w.overKills
	w.mu.Unlock()
	w.logf("processes killed because of their memory: %d", n)
	return n
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// manyItems has a client send batch jobs of legal size that list far too many items.
func manyItems(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(36, 60, 4*time.Millisecond, false); err != nil {
		return false, err
	}
	w.overMemory("before")
	go w.enforceMemory()
	entry := w.entries()[0]
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
	asked, cut := w.askAround(entry)
	const senders = 2
	var all sync.WaitGroup
	for n := range senders {
		all.Go(func() {
			job := fmt.Sprintf("b1%04x", n)
			ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
			defer cancel()
			a, err := call(ctx, http.MethodPost, entry.callers, batchPrefix+job, job, officeKey, body, map[string]string{"Content-Type": "application/json"})
			w.logf("body of %d bytes sent to %s as job %s: status %d %q, error %v", len(body), entry.name, job, a.status, a.body, err)
		})
	}
	all.Wait()
	time.Sleep(3 * time.Second)
	w.logf("ordinary requests at %s meanwhile: %d, without an answer: %d", entry.name, asked.Load(), cut.Load())
	over := w.overMemory("after")
	return w.kills() > 0 || over, nil
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
	largeJobs      = 90
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
	w.overMemory("before")
	go w.enforceMemory()
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
	w.overMemory("all jobs answered")
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
	broken := w.overMemory("at the end")
	return w.kills() > 0 || broken || undone > 0, nil
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
