package cataloger_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/stretchr/testify/require"
)

// Guards against calls of a workspace that count as less urgent than those of a workspace
// which comes after it.
func TestRanksOfWorkspacesDoNotOverlap(t *testing.T) {
	shares := []cataloger.Share{{Service: "s", Weight: 1}}
	c := cataloger.NewConfig(cataloger.ConfigParts{
		Routes:     []cataloger.Route{{Name: "a", Host: "h", Prefix: "/a", Shares: shares, Priority: 1}, {Name: "b", Host: "h", Prefix: "/b", Shares: shares, Priority: 5}},
		Workspaces: []cataloger.Workspace{{Name: "first"}, {Name: "second", Priority: 3}},
	})
	for name, want := range map[string][2]int{"first": {0, 1}, "second": {2, 3}} {
		first, last := c.Ranks(c.Workspaces()[name])
		require.Equal(t, want, [2]int{first, last})
	}
}
