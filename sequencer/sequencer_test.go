package sequencer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/sequencer"
	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/stretchr/testify/require"
)

// parse returns the only event of a stream.
func parse(t *testing.T, stream string) splitter.Event {
	t.Helper()
	var s splitter.Splitter
	var events []splitter.Event
	require.NoError(t, s.Feed([]byte(stream), func(e splitter.Event) error {
		events = append(events, e)
		return nil
	}))
	require.Len(t, events, 1)
	return events[0]
}

func TestEventsOfOtherRunsAreRejected(t *testing.T) {
	var unnumbered *sequencer.UnnumberedError
	var gap *sequencer.GapError
	var empty *sequencer.EmptyError
	require.NoError(t, sequencer.Check(parse(t, "id: 4\ndata: x\n\n"), 3))
	require.NoError(t, sequencer.Check(parse(t, "id: 1\ndata:\n\n"), 0), "data may be empty")
	require.NoError(t, sequencer.Check(parse(t, ": waiting\n\n"), 3))
	require.NoError(t, sequencer.Check(parse(t, "retry: 5\n\n"), 3))
	require.ErrorAs(t, sequencer.Check(parse(t, "data: error: worker lost\n\n"), 0), &unnumbered)
	require.ErrorAs(t, sequencer.Check(parse(t, "id: x\ndata: x\n\n"), 3), &unnumbered)
	require.ErrorAs(t, sequencer.Check(parse(t, "event: error\n\n"), 3), &unnumbered)
	require.ErrorAs(t, sequencer.Check(parse(t, "id: 7\ndata: x\n\n"), 0), &gap)
	require.ErrorAs(t, sequencer.Check(parse(t, "id: 3\ndata: x\n\n"), 3), &gap)
	require.ErrorAs(t, sequencer.Check(parse(t, "id: 2\ndata: x\n\n"), 3), &gap)
	require.ErrorAs(t, sequencer.Check(parse(t, "id: 4\n\n"), 3), &empty)
}
