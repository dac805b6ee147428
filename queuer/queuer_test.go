package queuer_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

func newQueue() *queuer.Queue { return queuer.New(zap.NewNop(), func() {}) }

func encode(t require.TestingT, r queuer.Record) [][]byte {
	entries, err := queuer.Encode(r)
	require.NoError(t, err)
	return entries
}

func apply(t require.TestingT, q *queuer.Queue, records ...queuer.Record) {
	for _, r := range records {
		applyData(q, encode(t, r))
	}
}

func job(id string, items int) queuer.Job {
	j := queuer.Job{ID: id, Workspace: "w", Route: "r", Submitted: 1000, RunObjective: 18000}
	for i := range items {
		j.Items = append(j.Items, queuer.Item{ID: fmt.Sprint(id, "-", i), Path: "/p", Body: []byte{byte(i)}, Tokens: 10})
	}
	return j
}

func outputs(q *queuer.Queue, id string) []string {
	r, _, _ := q.Results(id, 0, 1<<20)
	out := []string{}
	for _, v := range r.Results {
		out = append(out, fmt.Sprint(v.Item, "=", string(v.Output), v.Dead))
	}
	return out
}

func TestOnlyFirstResultOfAnItemIsKept(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 2)},
		queuer.Finished{Job: "j", Item: 1, Output: []byte("one")},
		queuer.Finished{Job: "j", Item: 1, Output: []byte("two")},
		queuer.Accepted{Job: job("j", 2)},
		queuer.Finished{Job: "j", Item: 0, Dead: true, Output: []byte("x")})
	require.Equal(t, []string{"j-1=onefalse", "j-0=true"}, outputs(q, "j"))
	require.False(t, q.Active("j"))
}

func TestItemResumesFromSavedOutput(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 1)},
		queuer.Saved{Parts: []queuer.Part{{Job: "j", Output: []byte("abc"), Events: 1, LastEvent: 1}}},
		queuer.Saved{Parts: []queuer.Part{{Job: "j", From: 3, Output: []byte("\ndef"), Events: 2, LastEvent: 2}}})
	q.StartServing()
	require.Equal(t, queuer.Progress{Output: []byte("abc\ndef"), Events: 2, LastEvent: 2}, q.Pending()[0].Progress)
	apply(t, q, queuer.Finished{Job: "j", From: 3, Output: []byte("\ndef\nghi")})
	require.Equal(t, []string{"j-0=abc\ndef\nghifalse"}, outputs(q, "j"))
}

func TestResultThatExtendsUnsavedOutputIsNotListed(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 1)}, queuer.Finished{Job: "j", From: 5, Output: []byte("rest")})
	require.Empty(t, outputs(q, "j"))
}

func TestEndedJobStopsRunningAndKeepsItsResults(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 2)}, queuer.Finished{Job: "j", Item: 0, Output: []byte("a")}, queuer.Ended{Job: "j"})
	q.StartServing()
	require.Empty(t, q.Pending())
	require.Len(t, outputs(q, "j"), 1)
	_, ok := q.Body("j", "j-1")
	require.False(t, ok)
}

// Ending a job used to clear the bodies of its items in place, while a run that had just
// started was about to send one.
func TestJobOfAPendingItemDoesNotChange(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 1)})
	q.StartServing()
	p := q.Pending()[0]
	apply(t, q, queuer.Ended{Job: "j"})
	require.Equal(t, []byte{0}, p.Spec.Items[0].Body)
}

func TestWaitingCountsPendingItemsAndReservations(t *testing.T) {
	q := newQueue()
	q.StartServing()
	key := queuer.QueueKey{Workspace: "w", Route: "r"}
	release := q.Reserve(key, 7)
	apply(t, q, queuer.Accepted{Job: job("j", 3)}, queuer.Finished{Job: "j", Item: 0})
	require.EqualValues(t, 27, q.WaitingTokens()[key])
	release()
	require.EqualValues(t, 20, q.WaitingTokens()[key])
}

// Repeated or late records change nothing, and two hosts that apply the same log have
// the same results.
func TestRepeatedRecordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []queuer.Record
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			j := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
			item := rapid.IntRange(0, 2).Draw(t, "item")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				log = append(log, queuer.Accepted{Job: job(j, 3)})
			case 1:
				log = append(log, queuer.Finished{Job: j, Item: item, Output: []byte(rapid.StringN(0, 3, 3).Draw(t, "output"))})
			case 2:
				log = append(log, queuer.Saved{Parts: []queuer.Part{{Job: j, Item: item, Output: []byte("s"), Events: 1, LastEvent: 1}}})
			case 3:
				log = append(log, queuer.Ended{Job: j})
			case 4:
				if len(log) > 0 {
					log = append(log, rapid.SampledFrom(log).Draw(t, "again"))
				}
			}
		}
		one, two := newQueue(), newQueue()
		seen := map[string][]string{"a": {}, "b": {}}
		for _, r := range log {
			apply(t, one, r)
			for _, j := range []string{"a", "b"} {
				now := outputs(one, j)
				require.Equal(t, seen[j], now[:len(seen[j])], "the result at a position changed")
				seen[j] = now
			}
		}
		apply(t, two, log...)
		for _, j := range []string{"a", "b"} {
			require.Equal(t, outputs(one, j), outputs(two, j))
		}
	})
}

// Guards against output that is kept for items that will not run any more.
func TestOutputOfAnEndedJobIsNotSaved(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 1)}, queuer.Ended{Job: "j"})
	before := len(q.Checkpoint())
	ended := bytes.Join(q.Checkpoint(), nil)
	apply(t, q, queuer.Saved{Parts: []queuer.Part{{Job: "j", Output: []byte("abc"), Events: 1, LastEvent: 1}}})
	require.Len(t, q.Checkpoint(), before)
	require.Equal(t, ended, bytes.Join(q.Checkpoint(), nil))
}

// Guards against a reader that waits for results at a host that has stopped serving them.
func TestReadersAreWokenWhenTheHostStopsServing(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 1)})
	q.StartServing()
	_, updated, ok := q.Results("j", 0, 1<<20)
	require.True(t, ok)
	q.StopServing()
	select {
	case <-updated:
	default:
		require.Fail(t, "the reader still waits")
	}
}

// The caller of an abandoned item was not told why.
func TestReasonOfADeadItemIsKept(t *testing.T) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 1)}, queuer.Finished{Job: "j", Dead: true, Reason: "too long"})
	require.Equal(t, []string{"j-0=too longtrue"}, outputs(q, "j"))
	restored := newQueue()
	for _, data := range q.Checkpoint() {
		restored.Apply(data)
	}
	require.Equal(t, []string{"j-0=too longtrue"}, outputs(restored, "j"))
}
