package queuer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
)

// samples returns encoded records of all kinds.
func samples(t testing.TB) [][]byte {
	var out [][]byte
	for _, r := range []queuer.Record{
		queuer.Accepted{Job: job("k", 3)},
		queuer.Finished{Job: "j", Item: 1, From: 2, Output: []byte("output")},
		queuer.Saved{Parts: []queuer.Part{{Job: "j", Item: 2, From: 1, Output: []byte("more"), Events: 3, LastEvent: 4}}},
		queuer.Ended{Job: "j"},
		queuer.Dropped{Job: "k"},
		queuer.CheckpointRecord{First: true, Left: 1, Record: queuer.Accepted{Job: job("j", 1)}},
		queuer.Piece{First: true, Data: encode(t, queuer.Ended{Job: "j"})[0]},
	} {
		out = append(out, encode(t, r)...)
	}
	return out
}

// applyAndQuery applies a record to a queue that has a job in progress, and calls all
// query methods.
func applyAndQuery(t testing.TB, data []byte) {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("j", 3)}, queuer.Saved{Parts: []queuer.Part{{Job: "j", Item: 1, Output: []byte("out"), Events: 1, LastEvent: 1}}})
	q.StartServing()
	q.Apply(data)
	q.Results("j", 0, 10)
	q.Pending()
	q.WaitingTokens()
	q.Expired(1 << 60)
	q.Checkpoint()
}

// A corrupt record must not crash the process of a host that reads it from its log or
// receives it from another host.
func TestCorruptRecordsDoNotPanic(t *testing.T) {
	harness.Mutate(1, 30000, samples(t), func(b []byte) { applyAndQuery(t, b) })
}

func FuzzRecords(f *testing.F) {
	for _, s := range samples(f) {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, b []byte) { applyAndQuery(t, b) })
}
