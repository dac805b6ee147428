package batcher_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var listAll = segmenter.ListRequest{}

// requireEndedOnce requires that every item has ended exactly once, that the
// results in before are unchanged, and that usage was recorded once per item.
func (c *cluster) requireEndedOnce(job string, names []string, before map[string]outputLine) {
	done, err := c.output(c.anyBatcher(), job, submitter.OutputDone)
	require.NoError(c.t, err)
	failed, err := c.output(c.anyBatcher(), job, submitter.OutputFailed)
	require.NoError(c.t, err)
	require.Len(c.t, done, len(names)-len(failed))
	for _, n := range names {
		_, isDone := done[n]
		_, isFailed := failed[n]
		require.True(c.t, isDone != isFailed, "item %s: done %v, failed %v", n, isDone, isFailed)
	}
	for n, b := range before {
		require.Equal(c.t, b, done[n], "a result that was readable changed")
	}
	require.Equal(c.t, int64(len(names)), c.usage.requests(), "usage counts every item once")
}

func TestNextOwnerContinuesJobOfKilledOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		c.do = answerAfter(time.Second)
		names := itemNames("i", 400)
		j := c.submit("k", names)
		time.Sleep(6500 * time.Millisecond) // a time at which no item ends
		h := c.owner(j.ID)
		before, err := c.output(h.batcher, j.ID, submitter.OutputDone)
		require.NoError(t, err)
		require.NotEmpty(t, before)
		st, err := h.batcher.Status(t.Context(), workspace, j.ID)
		require.NoError(t, err)
		h.kill()
		c.leave(h)
		ended := c.waitEnded(j.ID, time.Hour)
		require.Equal(t, int64(400), ended.Counts.Done)
		c.requireEndedOnce(j.ID, names, before)
		repeatedCalls := 0
		for _, n := range c.callCounts() {
			repeatedCalls += n - 1
		}
		require.LessOrEqual(t, int64(repeatedCalls), st.Counts.Running, "only what was running runs again")
	})
}

func TestPlannedStopRecordsCompletedItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		c.do = answerAfter(time.Second)
		names := itemNames("i", 400)
		j := c.submit("k", names)
		time.Sleep(6500 * time.Millisecond) // a time at which no item ends
		h := c.owner(j.ID)
		h.stop()
		c.leave(h)
		require.Equal(t, int64(400), c.waitEnded(j.ID, time.Hour).Counts.Done)
		c.requireEndedOnce(j.ID, names, nil)
	})
}

// The previous owner does not receive the new record and continues to run the
// job. The holders must reject its appends, so that no item gets two results.
func TestTwoOwnersRecordEveryItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		c.do = answerAfter(time.Second)
		names := itemNames("i", 400)
		j := c.submit("k", names)
		time.Sleep(6500 * time.Millisecond) // a time at which no item ends
		old := c.owner(j.ID)
		stale := old.process.View().Record
		old.process.mu.Lock()
		old.process.staleRecord = &stale
		old.process.mu.Unlock()
		c.leave(old)
		require.Equal(t, int64(400), c.waitEnded(j.ID, time.Hour).Counts.Done)
		c.requireEndedOnce(j.ID, names, nil)
		old.process.mu.Lock()
		old.process.staleRecord = nil
		old.process.mu.Unlock()
	})
}

func TestLostHolderMovesTheJobToANewSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, nil)
		defer c.close()
		c.do = answerAfter(time.Second)
		names := itemNames("i", 400)
		j := c.submit("k", names)
		time.Sleep(6500 * time.Millisecond) // a time at which no item ends
		owner := c.owner(j.ID)
		before, err := c.output(owner.batcher, j.ID, submitter.OutputDone)
		require.NoError(t, err)
		for _, h := range c.hosts {
			infos, err := h.local.List(segmenter.ListRequest{Prefix: "results/"})
			require.NoError(t, err)
			if len(infos) > 0 && h != owner {
				h.kill()
				time.Sleep(5 * time.Second)
				c.leave(h)
				break
			}
		}
		require.Equal(t, int64(400), c.waitEnded(j.ID, time.Hour).Counts.Done)
		c.requireEndedOnce(j.ID, names, before)
		time.Sleep(5 * time.Minute)
		copies := make(map[string]int)
		for _, h := range c.hosts {
			if !h.up {
				continue
			}
			infos, err := h.local.List(segmenter.ListRequest{Prefix: "results/"})
			require.NoError(t, err)
			for _, i := range infos {
				if i.Final && i.Records > 0 {
					copies[i.Name]++
				}
			}
		}
		for n, k := range copies {
			require.Equal(t, 3, k, n)
		}
	})
}

// holdersOf returns the hosts that have a segment whose name starts with prefix.
func (c *cluster) holdersOf(prefix string) []*host {
	var out []*host
	for _, h := range c.hosts {
		infos, err := h.local.List(segmenter.ListRequest{Prefix: prefix})
		require.NoError(c.t, err)
		if len(infos) > 0 {
			out = append(out, h)
		}
	}
	return out
}

// All holders of result segments lose their data folders at once, in one case
// together with the job's owner. The job must report the lost segments and run
// the items again whose results were lost.
func TestLossOfAllHoldersIsReportedAndItemsRunAgain(t *testing.T) {
	for _, withOwner := range []bool{false, true} {
		t.Run(fmt.Sprint("owner lost ", withOwner), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLossOfAllHolders(t, withOwner) })
		})
	}
}

func testLossOfAllHolders(t *testing.T, withOwner bool) {
	c := newCluster(t, 15, func(o *batcher.Options) {
		o.LossAfter = 60 * timer.Second
		if withOwner {
			o.RotateBytes = 16 << 10
		}
	})
	defer c.close()
	c.do = answerAfter(time.Second)
	names := itemNames("i", 400)
	// Submit jobs until one has its results only on hosts that neither own the job nor
	// hold its items.
	for k := 0; ; k++ {
		j := c.submit(fmt.Sprint(k), names)
		time.Sleep(6500 * time.Millisecond)
		results, items, owner := c.holdersOf("results/"+j.ID), c.holdersOf("items/"+j.ID), c.owner(j.ID)
		if slices.ContainsFunc(results, func(h *host) bool { return h == owner || slices.Contains(items, h) }) {
			_, err := c.anyBatcher().Cancel(t.Context(), workspace, j.ID)
			require.NoError(t, err)
			continue
		}
		if withOwner {
			results = append(results, owner)
		}
		for _, h := range results {
			h.kill()
			h.folder = t.TempDir()
			h.start()
			c.join(h)
		}
		ended := c.waitEnded(j.ID, time.Hour)
		require.Positive(t, ended.LostSegments)
		require.Equal(t, int64(400), ended.Counts.Done)
		done, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone)
		require.NoError(t, err)
		require.Len(t, done, 400)
		return
	}
}

func TestJobContinuesAfterWholeFleetRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		c.do = answerAfter(time.Second)
		names := itemNames("i", 400)
		j := c.submit("k", names)
		time.Sleep(6500 * time.Millisecond)
		before, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone)
		require.NoError(t, err)
		for _, h := range c.hosts {
			h.kill()
		}
		time.Sleep(time.Minute)
		for _, h := range c.hosts {
			h.start()
			c.join(h)
		}
		require.Equal(t, int64(400), c.waitEnded(j.ID, time.Hour).Counts.Done)
		c.requireEndedOnce(j.ID, names, before)
	})
}

// A host with a data folder does not answer when the job ends. That may delay the
// deletion of the job's items, but not the job's end.
func TestSilentHolderDoesNotDelayEndOfJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		j := c.submit("k", itemNames("i", 10))
		for _, h := range c.hosts {
			if !slices.Contains(c.holdersOf("results/"), h) && h != c.owner(j.ID) {
				h.kill()
				break
			}
		}
		require.Equal(t, submitter.StateCompleted, c.waitEnded(j.ID, time.Minute).State)
	})
}

// action is one step of a random schedule of faults.
type action struct {
	Kind  int
	Host  int
	Other int
	Pause int // in seconds; for actLoseAnswers also the number of lost answers
}

const (
	actKillRestart = iota
	actKillLeave
	actStopRestart
	actCut
	actOutage
	actLoseAnswers
	actKinds
)

var scheduleGenerator = rapid.SliceOfN(rapid.Custom(func(r *rapid.T) action {
	return action{
		Kind: rapid.IntRange(0, actKinds-1).Draw(r, "kind"), Host: rapid.IntRange(0, 4).Draw(r, "host"),
		Other: rapid.IntRange(0, 4).Draw(r, "other"), Pause: rapid.IntRange(1, 12).Draw(r, "pause"),
	}
}), 6, 14)

// randomOutcome returns a Doer function that ends each call with a random
// outcome.
func randomOutcome(c *cluster) func(context.Context, requester.Request, requester.Sink) requester.Outcome {
	return func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		wait := time.Duration(rand.IntN(3000)) * time.Millisecond
		switch rand.IntN(12) {
		case 0:
			return requester.Evicted{}
		case 1:
			return requester.NotRun{Code: "full", RetryAfter: 500}
		case 2:
			return requester.MaybeRun{Code: "truncated"}
		case 3:
			return requester.MaybeRun{ServerCrashed: true}
		case 4:
			return answer(ctx, r, s, wait, 500)
		case 5:
			return answer(ctx, r, s, wait, 400)
		}
		return answer(ctx, r, s, wait, 200)
	}
}

// apply causes the fault of a and waits until it is over.
func (c *cluster) apply(a action) {
	h := c.hosts[a.Host]
	pause := time.Duration(a.Pause) * time.Second
	switch a.Kind {
	case actKillRestart:
		h.kill()
		time.Sleep(pause)
		h.start()
		c.join(h)
	case actKillLeave:
		h.kill()
		time.Sleep(4 * time.Second)
		c.leave(h)
		time.Sleep(pause)
		h.start()
		c.join(h)
	case actStopRestart:
		h.stop()
		c.leave(h)
		h.start()
		c.join(h)
		time.Sleep(pause)
	case actCut:
		c.net.Cut(h.name, c.hosts[a.Other].name, true)
		time.Sleep(pause)
		c.net.Cut(h.name, c.hosts[a.Other].name, false)
	case actOutage:
		c.store.SetFaults(storer.Faults{Outage: true})
		time.Sleep(pause)
		c.store.SetFaults(storer.Faults{})
	case actLoseAnswers:
		c.store.SetFaults(storer.Faults{LoseAnswers: a.Pause, Delay: 50})
		time.Sleep(pause)
		c.store.SetFaults(storer.Faults{})
	}
}

// Random schedules of killed and restarted hosts, interrupted connections, store
// outages and lost answers of the store, with calls of every outcome: each item
// must end exactly once, and a result that has been read must never change.
func TestEveryItemEndsOnceOverRandomSchedules(t *testing.T) {
	const schedules = 20
	for seed := range schedules {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			schedule := scheduleGenerator.Example(seed)
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5, func(o *batcher.Options) { o.RotateBytes = 20 << 10 })
				defer c.close()
				c.do = randomOutcome(c)
				names := itemNames("i", 250)
				j := c.submit("k", names)
				history := make(map[string]outputLine)
				for _, a := range schedule {
					c.apply(a)
					if seen, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone); err == nil {
						for n, l := range history {
							require.Equal(t, l, seen[n], "a result that was readable is missing or changed")
						}
						maps.Copy(history, seen)
					}
				}
				c.waitEnded(j.ID, 2*time.Hour)
				c.requireEndedOnce(j.ID, names, history)
			})
		})
	}
}
