//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// endlessAnswers is how many answers without end the server gives.
const endlessAnswers = 12

// playEndless runs batch jobs while one server sends bytes without end, a few times, in place of
// events.
func playEndless(r *rig) int {
	out := output{events: 237, bytes: 55, gap: 20 * time.Millisecond}
	if err := r.startFleet(4, 3, out); err != nil {
		return r.cannotRun(err)
	}
	faulty := r.servers[0]
	c := newClient(10 * time.Second)
	var accepted []job
	for n := range 40 {
		j := newJob(fmt.Sprintf("%04x%012x", n%tenants+1, (n+1)*104729), fmt.Sprintf("key-%d", n%tenants+1), 10, plainBody, itemTokens)
		for attempt := range 2 {
			if status, _ := c.submit(r.entries()[(n+attempt)%3].callers, j); status == http.StatusAccepted {
				accepted = append(accepted, j)
				break
			}
		}
		if n == 8 && r.trouble {
			faulty.endless.Store(true)
			r.note("%s is about to send bytes without end, %d times", faulty.id, endlessAnswers)
		}
		time.Sleep(400 * time.Millisecond)
	}
	r.note("%d jobs accepted; %d answers had no end", len(accepted), faulty.spoiled.Load())
	left, stalled := r.readUntilDone(accepted)
	problems := r.ends()
	if len(left) > 0 && stalled {
		had, finished := r.hadLately()
		r.note("runs of a second or more on servers in the last 5 s: %d; items finished in the last 3 s: %d", had, finished)
		if had == 0 && finished == 0 {
			problems = append(problems, fmt.Sprintf("LOST: items of %d of %d jobs are listed neither as completed nor as dead", len(left), len(accepted)))
		}
	}
	return r.verdict(problems)
}

// hadLately returns how many runs of items on servers lasted a second or more and were going on in
// the last 5 s, and how many items were finished in the last 3 s.
func (r *rig) hadLately() (had, finished int) {
	now := time.Now()
	for _, s := range r.servers {
		s.mu.Lock()
		for _, v := range s.runs {
			end := v.end
			if end.IsZero() {
				end = now
			}
			if end.Sub(v.begin) >= time.Second && now.Sub(end) <= 5*time.Second {
				had++
			}
			if v.whole && now.Sub(end) <= 3*time.Second {
				finished++
			}
		}
		s.mu.Unlock()
	}
	return had, finished
}
