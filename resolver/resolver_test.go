package resolver_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/resolver"
	"github.com/stretchr/testify/require"
)

func TestReadyHostsAreReturned(t *testing.T) {
	require.Equal(t, []string{"a", "b"}, resolver.Choose([]resolver.Host{
		{Address: "b", Reachable: true, Ready: true},
		{Address: "a", Reachable: true, Ready: true},
		{Address: "c", Reachable: true},
		{Address: "d"},
		{Address: "e", Reachable: true, Ready: true, Leaving: true},
		{Reachable: true, Ready: true},
	}))
}

func TestHostsThatAreNotReadyAreReturnedWhenNoneIs(t *testing.T) {
	require.Equal(t, []string{"a"}, resolver.Choose([]resolver.Host{{Address: "a", Reachable: true}, {Address: "b"}}))
	require.Equal(t, []string{"b"}, resolver.Choose([]resolver.Host{{Address: "b"}, {Address: "l", Leaving: true}}))
	require.Equal(t, []string{"l"}, resolver.Choose([]resolver.Host{{Address: "l", Leaving: true}}))
	require.Empty(t, resolver.Choose(nil))
}
