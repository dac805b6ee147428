package queuer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// busy returns a queue with jobs in every state, and the records that made it.
func busy(t *testing.T) *queuer.Queue {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("done", 2)}, queuer.Accepted{Job: job("open", 3)},
		queuer.Accepted{Job: job("ended", 2)}, queuer.Accepted{Job: job("gone", 1)},
		queuer.Finished{Job: "done", Item: 1, Output: []byte("one")}, queuer.Finished{Job: "done", Item: 0, Dead: true},
		queuer.Saved{Parts: []queuer.Part{{Job: "open", Item: 2, Output: []byte("abc"), Events: 1, Last: 1}}},
		queuer.Saved{Failures: []queuer.Failure{{Job: "open", Item: 1, Count: 2}, {Job: "open", Item: 2, Count: 1}}},
		queuer.Finished{Job: "open", Item: 0, Output: []byte("zero")},
		queuer.Finished{Job: "ended", Item: 0, Output: []byte("x")}, queuer.Ended{Job: "ended"}, queuer.Dropped{Job: "gone"})
	return q
}

// shows lists all that can be asked of a queue that serves.
func shows(q *queuer.Queue) []any {
	q.Opened()
	_, gone := q.Has("gone")
	var bodies [][]byte
	for _, item := range []string{"open-0", "open-1", "ended-1"} {
		b, _ := q.Body("open", item)
		bodies = append(bodies, b)
	}
	pending := map[queuer.Ref]queuer.Progress{}
	for _, p := range q.Pending() {
		pending[p.Ref] = p.Saved
	}
	return []any{
		outputs(q, "done"), outputs(q, "open"), outputs(q, "ended"), gone, bodies, pending, q.Waiting(),
		q.Open("done"), q.Open("open"), q.Open("ended"), q.Expired(5000),
	}
}

func applyData(q *queuer.Queue, list [][]byte) {
	for _, data := range list {
		q.Apply(data)
	}
}

func TestCheckpointMakesAnotherQueueTheSame(t *testing.T) {
	list := busy(t).Checkpoint()
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("stale", 1)})
	applyData(q, list)
	require.Equal(t, shows(busy(t)), shows(q))
	_, stale := q.Has("stale")
	require.False(t, stale, "a checkpoint lists all that is kept")

	apply(t, q, queuer.Finished{Job: "open", Item: 2, From: 3, Output: []byte("def")})
	require.Equal(t, []string{"open-0=zerofalse", "open-2=abcdeffalse"}, outputs(q, "open"))
}

func TestCheckpointOfNothingEmptiesAQueue(t *testing.T) {
	list := newQueue().Checkpoint()
	q := busy(t)
	applyData(q, list)
	_, ok := q.Has("open")
	require.False(t, ok)
}

// Pattern: the owner dies when a part of a checkpoint is on the disks, and
// another session goes on.
func TestCheckpointThatIsCutShortChangesNothing(t *testing.T) {
	list := busy(t).Checkpoint()
	for cut := 1; cut < len(list); cut++ {
		q := busy(t)
		applyData(q, list[:cut])
		apply(t, q, queuer.Finished{Job: "open", Item: 1, Output: []byte("later")})
		applyData(q, list[cut:])
		want := busy(t)
		apply(t, want, queuer.Finished{Job: "open", Item: 1, Output: []byte("later")})
		require.Equal(t, shows(want), shows(q), "cut after %d", cut)
	}
}

// Readers that wait for results must not lose their job.
func TestCheckpointChangesNothingOnTheHostThatServes(t *testing.T) {
	q := busy(t)
	q.Opened()
	_, news, ok := q.Results("open", 1, 1<<20)
	require.True(t, ok)
	applyData(q, q.Checkpoint())
	apply(t, q, queuer.Finished{Job: "open", Item: 1, Output: []byte("one")})
	select {
	case <-news:
	default:
		require.Fail(t, "the reader was not told")
	}
}
