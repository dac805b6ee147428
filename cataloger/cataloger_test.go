package cataloger_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/stretchr/testify/require"
)

func ids(list []cataloger.Server) []string {
	out := make([]string, 0, len(list))
	for _, v := range list {
		out = append(out, v.ID)
	}
	return out
}

func TestServersOfServiceFollowServerChanges(t *testing.T) {
	var s cataloger.Snapshot
	s = s.WithServers([]cataloger.Server{{ID: "c", Service: "x"}, {ID: "a", Service: "x"}})
	s = s.WithServer(cataloger.Server{ID: "b", Service: "x"})
	before := s
	s = s.WithServer(cataloger.Server{ID: "d", Service: "y"}).WithoutServer("a").WithoutServer("unknown")
	require.Equal(t, []string{"b", "c"}, ids(s.ServersOf("x")))
	require.Equal(t, []string{"d"}, ids(s.ServersOf("y")))
	require.Equal(t, []string{"a", "b", "c"}, ids(before.ServersOf("x")), "an existing snapshot changed")

	s = s.WithServer(cataloger.Server{ID: "b", Service: "x", Draining: true})
	require.Equal(t, []string{"b", "c"}, ids(s.ServersOf("x")), "the server was not replaced in its place")
	require.True(t, s.ServersOf("x")[0].Draining)

	s = s.WithServer(cataloger.Server{ID: "b", Service: "y"})
	require.Equal(t, []string{"c"}, ids(s.ServersOf("x")), "the server was not moved to its new service")
	require.Equal(t, []string{"b", "d"}, ids(s.ServersOf("y")))
	require.Empty(t, s.ServersOf("none"))
}

// An empty owner of a group matched any host without a disk, which then received calls
// about jobs.
func TestEmptyDiskMatchesNoMember(t *testing.T) {
	s := cataloger.Snapshot{}.WithMember(cataloger.Member{Name: "entry", Role: cataloger.Entry})
	_, ok := s.MemberWithDisk("")
	require.False(t, ok)
}
