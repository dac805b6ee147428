//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/platform"
)

// Sizes and times of untrueRefusal. Four jobs fit into what a tenant may have waiting.
const (
	refusalJobs     = 10
	refusalItems    = 200
	refusalTokens   = 900
	refusalInterval = 20 * time.Millisecond
	resetAfter      = 100 * time.Millisecond
	frozenFor       = 3200 * time.Millisecond
	balanceTime     = 5 * time.Second
	settleAfter     = 12 * time.Second
)

// refusalJobNames returns names of jobs whose groups satisfy accept.
func refusalJobNames(accept func(group int) bool) []string {
	var out []string
	for n := 0; len(out) < refusalJobs; n++ {
		if name := fmt.Sprintf("f1%06x", n); accept(broker.GroupOf(name)) {
			out = append(out, name)
		}
	}
	return out
}

// groups returns the owner and the holders of each group of jobs, by the store.
func (w *world) groups() (owners map[int]*host, holders map[int][]*host, err error) {
	byDisk := make(map[string]*host)
	for _, h := range w.withRole(bulkRole) {
		disk, err := os.ReadFile(filepath.Join(h.diskPath(), "disk-id"))
		if err != nil {
			return nil, nil, err
		}
		byDisk[strings.TrimSpace(string(disk))] = h
	}
	owners, holders = make(map[int]*host), make(map[int][]*host)
	for n := range broker.Groups {
		items, _, err := w.ledger.Range(w.ctx, platform.GroupKey(n))
		if err != nil {
			return nil, nil, err
		}
		for _, i := range items {
			fact, err := platform.Decoder{}.Decode(i)
			if g, ok := fact.(follower.GroupFact); ok && err == nil && g.Number == n {
				owners[n] = byDisk[g.Group.Owner]
				for _, d := range g.Group.Holders {
					holders[n] = append(holders[n], byDisk[d])
				}
			}
		}
	}
	return owners, holders, nil
}

// untrueRefusal has jobs handed in while one bulk host stands still, and the channels to two others
// are reset once. It counts the jobs that were refused at every attempt and have run.
func untrueRefusal(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(36, 60, 5*time.Millisecond, true); err != nil {
		return false, err
	}
	time.Sleep(balanceTime)
	owners, holders, err := w.groups()
	if err != nil {
		return false, err
	}
	bulk := w.withRole(bulkRole)
	frozen, resets := bulk[3], bulk[:2]
	// These groups lose a holder, and not their owner.
	jobs := refusalJobNames(func(n int) bool {
		return slices.Contains(resets, owners[n]) && slices.Contains(holders[n], frozen)
	})
	if trouble {
		w.logf("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() {
			frozen.signal(syscall.SIGCONT)
			w.logf("%s goes on", frozen.name)
		})
		time.AfterFunc(resetAfter, func() {
			for _, h := range resets {
				w.logf("%d channels to %s are reset", w.proxies[h.peers].reset(), h.name)
			}
		})
	}
	type outcome struct {
		job      string
		attempts []int
	}
	outcomes := make([]outcome, refusalJobs)
	var all sync.WaitGroup
	for n := range refusalJobs {
		all.Go(func() {
			o := outcome{job: jobs[n]}
			items := newItems(o.job, refusalItems, 100, refusalTokens)
			entries := w.entries()
			// A client comes again once after a refusal, as the pages' clients do.
			for attempt := range 2 {
				a, err := w.submit(entries[(n+attempt)%len(entries)].callers, o.job, officeKey, items, 4*time.Second)
				if err != nil {
					a.status = 0
				}
				o.attempts = append(o.attempts, a.status)
				if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
					break
				}
				time.Sleep(a.retryAfter)
			}
			outcomes[n] = o
		})
		time.Sleep(refusalInterval)
	}
	all.Wait()
	time.Sleep(settleAfter)
	broken, acceptedJobs := 0, 0
	for _, o := range outcomes {
		ran := 0
		for _, i := range newItems(o.job, refusalItems, 0, 0) {
			if w.runsOf(i.ID) > 0 {
				ran++
			}
		}
		refused := true
		for _, status := range o.attempts {
			refused = refused && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
			if status == http.StatusAccepted {
				acceptedJobs++
			}
		}
		w.logf("job %s: answers %v, items that ran %d", o.job, o.attempts, ran)
		if refused && ran > 0 {
			broken++
		}
	}
	w.logf("jobs that were refused at every attempt and have run: %d", broken)
	if acceptedJobs == 0 {
		return false, errors.New("no job was accepted")
	}
	return broken > 0, nil
}
