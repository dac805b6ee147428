package runner_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/runner"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/stretchr/testify/require"
)

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// The last part of a host could not be made. The parts before went on running, and kept the
// data folder locked.
func TestFailedStartLeavesNothingOpen(t *testing.T) {
	s, err := checker.Parse("test", []byte("[host]\nname = h\ndata-centre = d\ncaller-listen = 127.0.0.1:1\npeer-listen = 127.0.0.1:2\n[store]\naddress = 127.0.0.1:1\n"))
	require.NoError(t, err)
	s.Host.DataFolder = t.TempDir()
	s.TLS.CallerCertificate, s.TLS.CallerKey = "missing.pem", "missing.key"
	before := runtime.NumGoroutine()
	for range 3 {
		_, err = runner.Start(s, runner.Options{Store: storer.NewMemory(), CallerListener: listen(t), PeerListener: listen(t)})
		require.ErrorContains(t, err, "missing")
	}
	// The condition is evaluated by a goroutine of its own.
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 10*time.Second, 10*time.Millisecond, "%d goroutines before", before)
}
