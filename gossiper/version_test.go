package gossiper_test

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/stretchr/testify/require"
)

// firstDigest is a Digest of the first version that encodes fields under numbers.
const firstDigest = "aa01f50219012c0319138804a16173820102" +
	"05a161770306a16171040705088201020aa201a1617303028161740b81a301617502010302"

// A fleet is upgraded host by host, so the old and the new program run side by side.
func TestDigestsOfOtherVersionsAreDecoded(t *testing.T) {
	var d gossiper.Digest
	old, err := hex.DecodeString(firstDigest)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(old, &d))
	want := gossiper.Digest{
		Ready: true, Age: 300, ConfirmedFor: 5000, Loads: map[string]gossiper.Load{"s": {Online: 1, Batch: 2}},
		Admitted: map[string]uint64{"w": 3}, Waiting: map[string]int64{"q": 4}, Backlog: 5, Groups: []int{1, 2},
		ServerFailures: ejector.Report{BrokenCalls: map[string]uint32{"s": 3}, Healthy: []string{"t"}},
		LeaveNotices:   []departer.Notice{{ID: "u", Born: 1, Status: departer.Gone}},
	}
	require.Equal(t, want, d)

	later, err := cbor.Marshal(map[int]any{1: true, 4: map[string][]int{"s": {3, 4}}, 9: suspector.Records{}, 250: "a field of a later version"})
	require.NoError(t, err)
	d = gossiper.Digest{}
	require.NoError(t, cbor.Unmarshal(later, &d))
	require.True(t, d.Ready)
	require.Equal(t, gossiper.Load{Online: 3, Batch: 4}, d.Loads["s"])

	idle, err := cbor.Marshal(gossiper.Digest{Ready: true})
	require.NoError(t, err)
	require.Less(t, len(idle), 24, "empty fields are omitted: %x", idle)
}
