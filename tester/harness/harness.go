// Package harness provides helpers that the tests of many packages share.
package harness

import (
	"flag"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Serve listens on a loopback address until the test ends and returns the address.
// It calls handle for each connection in a goroutine of its own and closes the
// connection when handle returns.
func Serve(t *testing.T, handle func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// MostInUse returns the highest value of inUse that is seen until all of running have
// ended. It looks each millisecond.
func MostInUse(running *sync.WaitGroup, inUse func() int64) int64 {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	for most := int64(0); ; {
		select {
		case <-done:
			return most
		case <-time.After(time.Millisecond):
			most = max(most, inUse())
		}
	}
}

// Main runs a package's tests and exits with their code. It sets the seed of
// property tests to 1, unless -rapid.seed sets another, so that runs are
// repeatable. A package's TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
