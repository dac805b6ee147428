package messenger_test

import (
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/certifier"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/stretchr/testify/require"
)

// startTLSHost serves a host that identifies itself as name and has a certificate for
// certified, signed by a.
func startTLSHost(t *testing.T, a *certifier.Authority, name, certified string) (*messenger.Host, string) {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, a.Save(folder))
	files, err := a.Issue(folder, certified, nil, time.Hour)
	require.NoError(t, err)
	c, err := certifier.New(files)
	require.NoError(t, err)
	h := messenger.New(messenger.Options{
		Self: messenger.Peer{Name: name, Incarnation: "1"}, ServerTLS: c.MutualServerConfig(), ClientTLS: c.MutualClientConfig(),
	})
	h.Handle("test/stream", stream(1))
	return h, serve(t, h)
}

func TestMutualTLSAdmitsOnlyHostsOfTheAuthorityUnderTheirNames(t *testing.T) {
	a, err := certifier.NewAuthority(time.Hour)
	require.NoError(t, err)
	other, err := certifier.NewAuthority(time.Hour)
	require.NoError(t, err)
	_, address := startTLSHost(t, a, "host-1", "host-1")
	good, _ := startTLSHost(t, a, "host-2", "host-2")
	require.NoError(t, good.Call(t.Context(), address, "test/stream", nil, nil))

	var n *messenger.NotSentError
	stranger, _ := startTLSHost(t, other, "host-3", "host-3")
	require.ErrorAs(t, stranger.Call(t.Context(), address, "test/stream", nil, nil), &n)
	impostor, _ := startTLSHost(t, a, "host-2", "host-4")
	require.ErrorAs(t, impostor.Call(t.Context(), address, "test/stream", nil, nil), &n)
	plain, _ := startHost(t, "host-5", nil)
	require.ErrorAs(t, plain.Call(t.Context(), address, "test/stream", nil, nil), &n)
}
