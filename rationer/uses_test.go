package rationer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// Guards against shares that count refused requests, or only those of this host.
func TestUsesCountWhatAllHostsAdmitted(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	r := rationer.New(c)
	r.SetPeers([]rationer.Peer{{Name: "b", LastReceived: 900}, {Name: "c", LastReceived: 100}})
	for range 3 {
		require.True(t, r.Admit("", rationer.Limit{}).Admitted)
	}
	r.Refund("")
	r.Merge("b", "1", map[string]uint64{"": 7})
	r.Merge("b", "1", map[string]uint64{"": 9})
	r.Merge("b", "2", map[string]uint64{"": 4})
	uses, heard, hosts := r.Uses()
	require.Equal(t, rationer.Use{Own: 2, Fleet: 8}, uses[""])
	require.Equal(t, 2, heard)
	require.Equal(t, 3, hosts)
}
