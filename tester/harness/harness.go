// Package harness has pieces that the tests of many packages share.
package harness

import (
	"flag"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve gives each connection to a loopback address to handle, and closes it
// afterwards. The address is listened at until the test ends.
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

// Main runs a package's tests with the seed of property tests fixed, unless
// -rapid.seed names another. A package's TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
