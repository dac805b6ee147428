package batcher_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestJobCompletesAndIsReadableOnEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		names := itemNames("i", 500)
		j := c.submit("k", names)
		require.Equal(t, int64(500), j.Counts.Total)
		ended := c.waitEnded(j.ID, time.Hour)
		require.Equal(t, submitter.StateCompleted, ended.State)
		require.Equal(t, int64(500), ended.Counts.Done)
		for _, h := range c.hosts {
			got, err := c.output(h.batcher, j.ID, submitter.OutputDone)
			require.NoError(t, err)
			require.Len(t, got, 500)
			require.JSONEq(t, `{"echo":"i-7"}`, string(got["i-7"].Response.Body))
		}
		for _, n := range names {
			require.Equal(t, 1, c.callCounts()[n])
		}
		require.Equal(t, int64(500), c.usage.requests())
		require.LessOrEqual(t, uint64(c.store.Index()), uint64(5), "the store sees a few writes per job")
		time.Sleep(time.Minute)
		for _, h := range c.hosts {
			infos, err := h.local.List(listAll)
			require.NoError(t, err)
			for _, i := range infos {
				require.False(t, strings.HasPrefix(i.Name, "items/") && !i.Deleted, "items of an ended job are kept")
			}
		}
	})
}

func TestSubmitIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		names := itemNames("i", 20)
		j := c.submit("k", names)
		again, err := c.hosts[1].batcher.Submit(t.Context(), request("k", names))
		require.NoError(t, err)
		require.Equal(t, j.ID, again.ID)
		_, err = c.hosts[2].batcher.Submit(t.Context(), request("k", names[:19]))
		var conflict *submitter.ConflictError
		require.ErrorAs(t, err, &conflict)
		c.waitEnded(j.ID, time.Hour)
		again, err = c.hosts[2].batcher.Submit(t.Context(), request("k", names))
		require.NoError(t, err)
		require.Equal(t, submitter.StateCompleted, again.State)
		for _, n := range names {
			require.Equal(t, 1, c.callCounts()[n])
		}
	})
}

// TestJobEndsAtItsMaximumAge guards against a job that never ends, whose segments expire
// and are deleted while it still runs.
func TestJobEndsAtItsMaximumAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(o *batcher.Options) { o.MaxAge = 3600 * timer.Second })
		defer c.close()
		c.do = func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
			if customID(r) == "never" {
				<-ctx.Done()
				return requester.Evicted{}
			}
			return answerAfter(time.Second)(ctx, r, s)
		}
		submitted, err := c.hosts[0].batcher.Submit(t.Context(), request("k", []string{"a", "never", "b"}))
		require.NoError(t, err)
		time.Sleep(55 * time.Minute)
		j, err := c.hosts[1].batcher.Status(t.Context(), workspace, submitted.ID)
		require.NoError(t, err)
		require.False(t, j.State.Ended())
		require.GreaterOrEqual(t, j.ExpectedEnd, timer.Millis(0), "a rate close to zero gives no estimate")
		j = c.waitEnded(submitted.ID, 10*time.Minute)
		require.Equal(t, submitter.StateFailed, j.State)
		require.Contains(t, j.Reason, "maximum age")
		require.EqualValues(t, 2, j.Counts.Done)
		require.EqualValues(t, 2, c.usage.requests())
	})
}

// slowReader waits before it returns the first byte.
type slowReader struct {
	io.Reader
	wait time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.wait)
	r.wait = 0
	return r.Reader.Read(p)
}

// TestSubmissionThatTakesTooLongIsNotAccepted guards against a job whose items were taken
// for orphaned and deleted before it was accepted.
func TestSubmissionThatTakesTooLongIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		r := request("k", nil)
		r.Items = &slowReader{Reader: strings.NewReader(inputLine("a")), wait: 25 * time.Hour}
		_, err := c.hosts[0].batcher.Submit(t.Context(), r)
		var refused *submitter.NotAcceptedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, submitter.CodeTooSlow, refused.Code)
		keys, err := c.store.List(t.Context(), "")
		require.NoError(t, err)
		require.Empty(t, keys)
	})
}

// Several hosts accept submissions with the same idempotency key concurrently,
// while answers of the store are lost after the write. All must return the same
// job.
func TestConcurrentSubmitsWithLostAnswersCreateOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		names := itemNames("i", 20)
		c.store.SetFaults(storer.Faults{LoseAnswers: 3, Delay: 20})
		ids := make(chan string, len(c.hosts))
		for _, h := range c.hosts {
			go func() {
				j, err := h.batcher.Submit(t.Context(), request("k", names))
				if err != nil {
					ids <- err.Error()
					return
				}
				ids <- j.ID
			}()
		}
		first := <-ids
		for range len(c.hosts) - 1 {
			require.Equal(t, first, <-ids)
		}
		require.Equal(t, int64(20), c.waitEnded(first, time.Hour).Counts.Done)
		for _, n := range names {
			require.Equal(t, 1, c.callCounts()[n])
		}
	})
}

func TestBadLineErrorHasLineAndField(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		good := inputLine("a")
		for _, x := range []struct {
			bad, field string
			line       int64
		}{
			{"{", "", 2},
			{"[]", "", 2},
			{strings.Replace(inputLine("b"), `"custom_id":"b",`, "", 1), "custom_id", 2},
			{inputLine("a"), "custom_id", 2},
			{strings.Replace(inputLine("b"), "POST", "GET", 1), "method", 2},
			{strings.Replace(inputLine("b"), "chat/", "", 1), "url", 2},
			{strings.Replace(inputLine("b"), `"model":"m",`, "", 1), "body.model", 2},
			{strings.Replace(inputLine("b"), `"model":"m"`, `"model":7`, 1), "body.model", 2},
			{strings.Replace(inputLine("b"), `"model":"m"`, `"model":"m","stream":true`, 1), "body.stream", 2},
			{"\n" + strings.Replace(inputLine("b"), `"custom_id":"b"`, `"custom_id":5`, 1), "custom_id", 3},
		} {
			r := request("", nil)
			r.Items = strings.NewReader(good + x.bad + "\n")
			_, err := c.hosts[0].batcher.Submit(t.Context(), r)
			var bad *submitter.BadLineError
			require.ErrorAs(t, err, &bad, x.bad)
			require.Equal(t, x.line, bad.Line, x.bad)
			require.Equal(t, x.field, bad.Field, x.bad)
		}
		keys, err := c.store.List(t.Context(), "")
		require.NoError(t, err)
		require.Empty(t, keys)
	})
}

func TestNotAcceptedWithoutStoreOrSecondDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		var refused *submitter.NotAcceptedError
		c.store.SetFaults(storer.Faults{Outage: true})
		_, err := c.hosts[0].batcher.Submit(t.Context(), request("k", itemNames("i", 3)))
		require.ErrorAs(t, err, &refused)
		require.Equal(t, submitter.CodeStoreUnavailable, refused.Code)
		c.store.SetFaults(storer.Faults{})
		c.hosts[1].kill()
		c.hosts[2].kill()
		_, err = c.hosts[0].batcher.Submit(t.Context(), request("k", itemNames("i", 3)))
		require.ErrorAs(t, err, &refused)
		require.Equal(t, submitter.CodeNotEnoughHolders, refused.Code)
	})
}

func TestItemsEndAccordingToCallOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		seen := make(map[string]int)
		c.do = func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
			name := customID(r)
			c.mu.Lock()
			seen[name]++
			n := seen[name]
			c.mu.Unlock()
			switch name {
			case "crash":
				return requester.MaybeRun{ServerCrashed: true, Code: "server-died"}
			case "suspect-twice":
				if n <= 2 {
					return requester.MaybeRun{ServerCrashed: true, Code: "server-died"}
				}
			case "evicted":
				if n <= 50 {
					return requester.Evicted{}
				}
			case "later":
				if n <= 20 {
					return requester.NotRun{Code: "full", RetryAfter: 100}
				}
			case "never":
				return requester.NotRun{Code: "unknown-model"}
			case "bad":
				return answer(ctx, r, s, time.Millisecond, 422)
			case "error-twice":
				if n <= 2 {
					return answer(ctx, r, s, time.Millisecond, 503)
				}
			case "error":
				return answer(ctx, r, s, time.Millisecond, 500)
			case "cut":
				if n <= 3 {
					return requester.MaybeRun{Code: "truncated"}
				}
			}
			return answer(ctx, r, s, time.Millisecond, 200)
		}
		names := []string{"crash", "suspect-twice", "evicted", "later", "never", "bad", "error-twice", "error", "cut", "plain"}
		j := c.submit("k", names)
		ended := c.waitEnded(j.ID, time.Hour)
		require.Equal(t, submitter.StateCompleted, ended.State)
		failed, err := c.output(c.anyBatcher(), j.ID, submitter.OutputFailed)
		require.NoError(t, err)
		done, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone)
		require.NoError(t, err)
		require.Len(t, done, 6)
		require.Len(t, failed, 4)
		require.Equal(t, "backend-servers-died", failed["crash"].Error.Code)
		require.Equal(t, 3, failed["crash"].Error.Attempts)
		require.Equal(t, 3, seen["crash"])
		require.Equal(t, "unknown-model", failed["never"].Error.Code)
		require.Equal(t, 422, failed["bad"].Response.StatusCode)
		require.Equal(t, 1, seen["bad"])
		require.Equal(t, 500, failed["error"].Response.StatusCode)
		require.Equal(t, 5, seen["error"])
		require.Equal(t, 200, done["evicted"].Response.StatusCode)
	})
}

// The number of backend servers that crashed during an item's calls must carry
// over to the next owner.
func TestSuspectsCarryOverToNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		crashes := 0
		never := make(chan struct{})
		c.do = func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
			c.mu.Lock()
			n := crashes
			crashes++
			c.mu.Unlock()
			if n == 2 {
				select {
				case <-never:
				case <-ctx.Done():
					return requester.NotRun{Code: "cancelled"}
				}
			}
			return requester.MaybeRun{ServerCrashed: true, Code: "server-died"}
		}
		j := c.submit("k", []string{"crash"})
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		require.Equal(t, 3, crashes)
		c.mu.Unlock()
		h := c.owner(j.ID)
		h.kill()
		c.leave(h)
		c.waitEnded(j.ID, time.Hour)
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Equal(t, 4, crashes, "two crashes before, one interrupted call, the third crash after")
	})
}

func TestCancelStopsNewItemsAndKeepsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		c.do = answerAfter(3 * time.Second)
		names := itemNames("i", 2000)
		j := c.submit("k", names)
		time.Sleep(21 * time.Second)
		other, err := c.anyBatcher().Cancel(t.Context(), "office", j.ID)
		var missing *submitter.NotFoundError
		require.ErrorAs(t, err, &missing, "%+v", other)
		got, err := c.anyBatcher().Cancel(t.Context(), workspace, j.ID)
		require.NoError(t, err)
		require.Equal(t, submitter.StateCancelling, got.State)
		begun, at := len(c.callCounts()), time.Now()
		ended := c.waitEnded(j.ID, time.Minute)
		require.Equal(t, submitter.StateCancelled, ended.State)
		require.Less(t, time.Since(at), 3*time.Second, "running items are stopped, not waited for")
		require.Len(t, c.callCounts(), begun, "an item began after the cancellation")
		require.Less(t, begun, 2000)
		done, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone)
		require.NoError(t, err)
		require.Len(t, done, int(ended.Counts.Done))
		require.NotEmpty(t, done)
	})
}

func TestCancelReachesOwnerAfterItWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		defer c.close()
		c.do = answerAfter(20 * time.Second)
		j := c.submit("k", itemNames("i", 5000))
		time.Sleep(5 * time.Second)
		h := c.owner(j.ID)
		for _, o := range c.hosts {
			c.net.Cut(o.name, h.name, o != h)
		}
		for _, o := range c.hosts {
			if o == h {
				continue
			}
			_, err := o.batcher.Cancel(t.Context(), workspace, j.ID)
			require.NoError(t, err)
			break
		}
		time.Sleep(2 * time.Minute)
		for _, o := range c.hosts {
			c.net.Cut(o.name, h.name, false)
		}
		require.Equal(t, submitter.StateCancelled, c.waitEnded(j.ID, time.Minute).State)
	})
}

func TestJobItemsRunDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(o *batcher.Options) { o.RotateBytes = 4 << 10 })
		defer c.close()
		c.do = answerAfter(time.Second)
		j := c.submit("k", itemNames("i", 300))
		time.Sleep(2 * time.Second)
		c.store.SetFaults(storer.Faults{Outage: true})
		time.Sleep(time.Hour)
		st, err := c.anyBatcher().Status(t.Context(), workspace, j.ID)
		require.NoError(t, err)
		require.Equal(t, int64(300), st.Counts.Done, "items end while the store is out")
		done, err := c.output(c.anyBatcher(), j.ID, submitter.OutputDone)
		require.NoError(t, err)
		require.NotEmpty(t, done)
		c.store.SetFaults(storer.Faults{})
		c.waitEnded(j.ID, time.Minute)
		for n, calls := range c.callCounts() {
			require.Equal(t, 1, calls, n)
		}
	})
}

func TestDeadlinesOrderItemsAndWorkspacesShareEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, func(o *batcher.Options) { o.MaxRunning = 4 })
		defer c.close()
		var order []string
		c.do = func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
			c.mu.Lock()
			order = append(order, customID(r)[:1])
			c.mu.Unlock()
			return answer(ctx, r, s, time.Second, 200)
		}
		// A job needs two holders, so add a host. Jobs that it owns are cancelled
		// below.
		helper := &host{c: c, name: "helper", dataCentre: "dc9", folder: t.TempDir()}
		helper.start()
		c.hosts = append(c.hosts, helper)
		c.join(helper)
		time.Sleep(6 * time.Second)
		submit := func(w, prefix string, due timer.Millis) {
			for i := 0; ; i++ { // a job that the first host owns
				r := request(prefix+string(rune('a'+i)), itemNames(prefix, 100))
				r.Workspace, r.Deadline = w, due
				j, err := c.hosts[0].batcher.Submit(t.Context(), r)
				require.NoError(t, err)
				if c.owner(j.ID) == c.hosts[0] {
					return
				}
				_, err = c.hosts[0].batcher.Cancel(t.Context(), w, j.ID)
				require.NoError(t, err)
			}
		}
		submit("x", "1late", timer.Wall()+1000*timer.Second)
		submit("x", "2soon", timer.Wall()+500*timer.Second)
		submit("y", "3also", 0) // the names have the same length, so that all items have the same size
		time.Sleep(6500 * time.Millisecond)
		c.mu.Lock()
		from := len(order)
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		count := make(map[string]int)
		for _, o := range order[from:] {
			count[o]++
		}
		require.InDelta(t, count["2"]+count["1"], count["3"], 4, "workspaces share: %v", count)
		require.LessOrEqual(t, count["1"], 2, "the job due first goes first: %v", count)
	})
}

// Items that share the beginning of a prompt carry it as online calls do, so that one that
// crashes servers is found.
func TestItemsCarryThePrefixesOfTheirPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		prefixes := make(map[string][]uint64)
		c.do = func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
			c.mu.Lock()
			prefixes[customID(r)] = r.Prefix
			c.mu.Unlock()
			return answer(ctx, r, s, time.Millisecond, 200)
		}
		long := strings.Repeat("what all of them begin with ", 5)
		names := []string{long + "a", long + "b"}
		j := c.submit("k", names)
		c.waitEnded(j.ID, time.Hour)
		c.mu.Lock()
		defer c.mu.Unlock()
		require.NotEmpty(t, prefixes[names[0]])
		require.Equal(t, prefixes[names[0]], prefixes[names[1]])
	})
}
