package queuer_test

import (
	"bytes"
	"testing"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// longJob returns a job that does not fit into one entry of the log.
func longJob(id string) queuer.Job {
	j := job(id, 3)
	for i := range j.Items {
		j.Items[i].Body = bytes.Repeat([]byte{byte('a' + i)}, 6<<20)
	}
	return j
}

// A job that one log entry cannot hold was written, and could not be read again.
func TestLongRecordsAreCutIntoEntriesThatCanBeRead(t *testing.T) {
	entries := encode(t, queuer.Accepted{Job: longJob("j")})
	require.Greater(t, len(entries), 1)
	q := newQueue()
	for _, data := range entries {
		require.LessOrEqual(t, len(data), mirrorer.MaxDataBytes)
		_, found := q.Workspace("j")
		require.False(t, found, "not accepted before its last piece")
		q.Apply(data)
	}
	requireLongJob(t, q, "j")
	restored := newQueue()
	for _, data := range q.Checkpoint() {
		require.LessOrEqual(t, len(data), mirrorer.MaxDataBytes)
		restored.Apply(data)
	}
	requireLongJob(t, restored, "j")
}

func requireLongJob(t *testing.T, q *queuer.Queue, id string) {
	for _, i := range longJob(id).Items {
		body, found := q.Body(id, i.ID)
		require.True(t, found)
		require.True(t, bytes.Equal(i.Body, body))
	}
}

// An owner was killed while it proposed a long job, and the log has only some of its pieces.
func TestRecordThatLacksPiecesIsNotApplied(t *testing.T) {
	pieces := encode(t, queuer.Accepted{Job: longJob("j")})
	other := encode(t, queuer.Accepted{Job: job("other", 1)})
	n := len(pieces)
	for name, list := range map[string][][][]byte{
		"end":       {pieces[:n-1]},
		"beginning": {pieces[1:]},
		"middle":    {pieces[:2], pieces[3:]},
		"between":   {pieces[:2], other, pieces[2:]},
		"twice":     {pieces[:2], pieces[:2], pieces[3:]},
	} {
		q := newQueue()
		for _, part := range list {
			applyData(q, part)
		}
		_, found := q.Workspace("j")
		require.False(t, found, name)
		applyData(q, other)
		_, found = q.Workspace("other")
		require.True(t, found, name)
		applyData(q, pieces)
		requireLongJob(t, q, "j")
	}
}

// The session of the next owner applies all of the log again.
func TestPiecesFromBeforeAResetAreNotContinued(t *testing.T) {
	pieces := encode(t, queuer.Accepted{Job: longJob("j")})
	q := newQueue()
	applyData(q, pieces[:2])
	q.Reset()
	applyData(q, pieces[2:])
	_, found := q.Workspace("j")
	require.False(t, found)
}
