package certifier_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/certifier"
	"github.com/stretchr/testify/require"
)

// newAuthority returns a new authority that is valid for an hour.
func newAuthority(t *testing.T) *certifier.Authority {
	t.Helper()
	a, err := certifier.NewAuthority(time.Hour)
	require.NoError(t, err)
	return a
}

// issue creates the certificate files of a host in a new folder.
func issue(t *testing.T, a *certifier.Authority, name string) certifier.Files {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, a.Save(folder))
	f, err := a.Issue(folder, name, nil, time.Hour)
	require.NoError(t, err)
	return f
}

// handshake connects client to server and returns the name in the certificate of
// the server.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	served := make(chan error, 1)
	go func() { served <- serveHandshake(l, server) }()
	b, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = b.Close() }()
	c := tls.Client(b, client)
	if err := c.Handshake(); err != nil {
		_ = b.Close()
		return "", errors.Join(err, <-served)
	}
	return c.ConnectionState().PeerCertificates[0].DNSNames[0], <-served
}

// serveHandshake accepts one connection and completes its handshake.
func serveHandshake(l net.Listener, server *tls.Config) error {
	a, err := l.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = a.Close() }()
	return tls.Server(a, server).Handshake()
}

func TestMutualHandshakeNeedsTheSameAuthority(t *testing.T) {
	a := newAuthority(t)
	one, err := certifier.New(issue(t, a, "host-1"))
	require.NoError(t, err)
	two, err := certifier.New(issue(t, a, "host-2"))
	require.NoError(t, err)
	other, err := certifier.New(issue(t, newAuthority(t), "host-3"))
	require.NoError(t, err)

	name, err := handshake(t, one.MutualServerConfig(), two.MutualClientConfig())
	require.NoError(t, err)
	require.Equal(t, "host-1", name)
	_, err = handshake(t, one.MutualServerConfig(), other.MutualClientConfig())
	require.Error(t, err)
	_, err = handshake(t, other.MutualServerConfig(), one.MutualClientConfig())
	require.Error(t, err)
}

// A certificate replaced on disk must be used without a restart, and an invalid file
// must not interrupt service.
func TestChangedFilesAreReloadedAndInvalidOnesIgnored(t *testing.T) {
	a := newAuthority(t)
	f := issue(t, a, "old")
	c, err := certifier.New(f)
	require.NoError(t, err)
	client, err := certifier.New(issue(t, a, "client"))
	require.NoError(t, err)

	renewed := issue(t, a, "new")
	require.NoError(t, os.Rename(renewed.Key, f.Key))
	require.NoError(t, os.Rename(renewed.Certificate, f.Certificate))
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(f.Certificate, later, later))
	require.Eventually(t, func() bool {
		name, err := handshake(t, c.MutualServerConfig(), client.MutualClientConfig())
		return err == nil && name == "new"
	}, 5*time.Second, 50*time.Millisecond)

	require.NoError(t, os.WriteFile(f.Key, []byte("broken"), 0o600))
	later = later.Add(time.Minute)
	require.NoError(t, os.Chtimes(f.Key, later, later))
	require.Eventually(t, func() bool { return c.Err() != nil }, 5*time.Second, 50*time.Millisecond)
	name, err := handshake(t, c.MutualServerConfig(), client.MutualClientConfig())
	require.NoError(t, err)
	require.Equal(t, "new", name)
}

// Files that were made earlier than those in use replace them, as when a backup is restored.
// They were not noticed.
func TestFilesWithEarlierModificationTimesAreReloaded(t *testing.T) {
	a := newAuthority(t)
	f, earlier := issue(t, a, "in-use"), issue(t, a, "earlier")
	c, err := certifier.New(f)
	require.NoError(t, err)
	client, err := certifier.New(issue(t, a, "client"))
	require.NoError(t, err)
	past := time.Now().Add(-time.Hour)
	for from, to := range map[string]string{earlier.Key: f.Key, earlier.Certificate: f.Certificate} {
		require.NoError(t, os.Chtimes(from, past, past))
		require.NoError(t, os.Rename(from, to))
	}
	require.Eventually(t, func() bool {
		name, err := handshake(t, c.MutualServerConfig(), client.MutualClientConfig())
		return err == nil && name == "earlier"
	}, 5*time.Second, 50*time.Millisecond)
}

func TestSavedAuthorityCanBeLoadedAndIsNotOverwritten(t *testing.T) {
	folder := t.TempDir()
	a := newAuthority(t)
	require.NoError(t, a.Save(folder))
	require.Error(t, newAuthority(t).Save(folder))
	again, err := certifier.LoadAuthority(folder)
	require.NoError(t, err)
	one, err := certifier.New(issue(t, again, "host-1"))
	require.NoError(t, err)
	two, err := certifier.New(issue(t, a, "host-2"))
	require.NoError(t, err)
	_, err = handshake(t, one.MutualServerConfig(), two.MutualClientConfig())
	require.NoError(t, err)
}
