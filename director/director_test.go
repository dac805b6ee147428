package director_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/director"
	"github.com/stretchr/testify/require"
)

func TestReadyHostsAreReturned(t *testing.T) {
	require.Equal(t, []string{"a", "b"}, director.Choose([]director.Host{
		{Address: "b", Heard: true, Ready: true},
		{Address: "a", Heard: true, Ready: true},
		{Address: "c", Heard: true},
		{Address: "d"},
		{Address: "e", Heard: true, Ready: true, Leaving: true},
		{Heard: true, Ready: true},
	}))
}

func TestHostsThatAreNotReadyAreReturnedWhenNoneIs(t *testing.T) {
	require.Equal(t, []string{"a"}, director.Choose([]director.Host{{Address: "a", Heard: true}, {Address: "b"}}))
	require.Equal(t, []string{"b"}, director.Choose([]director.Host{{Address: "b"}, {Address: "l", Leaving: true}}))
	require.Equal(t, []string{"l"}, director.Choose([]director.Host{{Address: "l", Leaving: true}}))
	require.Empty(t, director.Choose(nil))
}
