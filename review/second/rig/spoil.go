//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The disruption of the case "spoil": faulty of the servers spoil one of spoilEvery answers for
// spoilFor, again after each spoilPause: every other one before its first event, the rest after
// spoilAfter events.
const (
	faulty     = 3
	spoilEvery = 50
	spoilAfter = 5
	spoilFor   = 5500 * time.Millisecond
	spoilPause = 4500 * time.Millisecond
)

// playSpoil runs batch jobs and streams while some servers hand out wrong bytes now and then, and
// compares every text with the whole output of the item.
func playSpoil(r *rig) int {
	out := output{events: 237, bytes: 55, gap: 10 * time.Millisecond}
	if err := r.startFleet(4, 3, out); err != nil {
		return r.cannotRun(err)
	}
	if r.trouble {
		stop := make(chan struct{})
		defer close(stop)
		go r.spoilInTurns(stop)
	}
	var mu sync.Mutex
	var accepted []job
	asked, wrongStreams := 0, 0
	until := time.Now().Add(50 * time.Second)
	var work sync.WaitGroup
	work.Go(func() {
		c := newClient(10 * time.Second)
		for n := 0; time.Now().Before(until); n++ {
			j := newJob(fmt.Sprintf("%04x%012x", n%tenants+1, (n+1)*104729), fmt.Sprintf("key-%d", n%tenants+1), 10, plainBody/10, itemTokens)
			for attempt := range 3 {
				status, _ := c.submit(r.entries()[(n+attempt)%3].callers, j)
				if status == http.StatusAccepted {
					accepted = append(accepted, j)
					break
				}
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	for s := range 24 {
		work.Go(func() {
			c := newClient(8 * time.Second)
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("a5c%05x%08x", s, n)
				status, body, _, err := c.call(http.MethodPost, r.entries()[n%3].callers, "/ask/"+id, id, "key-1", []byte("hint"))
				whole := err == nil && status == http.StatusOK
				mu.Lock()
				if asked++; whole && string(body) != wholeStream(out) {
					wrongStreams++
					r.note("stream %s: complete, but its body of %d bytes is not the whole body of %d bytes; it begins %.60q", id, len(body), len(wholeStream(out)), body)
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	left, _ := r.readUntilDone(accepted)
	r.note("%d jobs accepted, %d not done; %d streams asked, %d of them complete with another body", len(accepted), len(left), asked, wrongStreams)
	completed, wrong := r.compare(accepted, out)
	spoiled := int64(0)
	for _, s := range r.servers {
		spoiled += s.spoiled.Load()
	}
	r.note("%d answers were spoiled; %d items are completed, %d of them with another text than their whole output", spoiled, completed, wrong)
	var problems []string
	if wrong > 0 {
		problems = append(problems, fmt.Sprintf("MIXED: %d of %d completed results have a text that is not the item's whole output", wrong, completed))
	}
	if wrongStreams > 0 {
		problems = append(problems, fmt.Sprintf("MIXED: %d complete streams have another body than the server's", wrongStreams))
	}
	return r.verdict(problems)
}

// spoilInTurns switches the disruption on and off until stop.
func (r *rig) spoilInTurns(stop <-chan struct{}) {
	set := func(on bool) {
		for _, s := range r.servers[:faulty] {
			s.spoiling.Store(on)
		}
		r.note("%d servers spoil answers: %v", faulty, on)
	}
	for {
		set(true)
		select {
		case <-stop:
			return
		case <-time.After(spoilFor):
		}
		set(false)
		select {
		case <-stop:
			return
		case <-time.After(spoilPause):
		}
	}
}

// wholeStream returns the whole body of a stream.
func wholeStream(out output) string {
	var b strings.Builder
	for event := 1; event <= out.events; event++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", event, eventData(event, out.bytes))
	}
	return b.String()
}

// wholeText returns the whole output of an item.
func wholeText(out output) string {
	var list []string
	for event := 1; event <= out.events; event++ {
		list = append(list, eventData(event, out.bytes))
	}
	return strings.Join(list, "\n")
}

// compare reads all results and returns how many are completed, and how many of them have another
// text than the item's whole output.
func (r *rig) compare(list []job, out output) (completed, wrong int) {
	c := newClient(5 * time.Second)
	want := wholeText(out)
	for _, j := range list {
		for next := 0; next < len(j.items); {
			page, status, err := c.read(r.entries()[0].callers, j, next)
			if err != nil || status != http.StatusOK || page.Next <= next {
				break
			}
			next = page.Next
			for _, v := range page.Results {
				if v.State != "completed" {
					r.note("item %s: %s", v.ID, v.State)
					continue
				}
				if completed++; v.Output != want {
					wrong++
					r.note("item %s: completed with a text of %d bytes instead of %d; it begins %.70q", v.ID, len(v.Output), len(want), v.Output)
				}
			}
		}
	}
	return completed, wrong
}
