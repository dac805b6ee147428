package storer_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/storer"
)

// platformSwitches implements faultSwitches for an emulated platform.
type platformSwitches struct{ *emulator.Platform }

func (p platformSwitches) SetFaults(f storer.Faults) {
	p.Platform.SetFaults(emulator.PlatformFaults{
		Outage: f.Outage, Delay: f.Delay, LoseAnswers: f.LoseAnswers, HostLag: f.HostLag,
	})
}

func (p platformSwitches) Faults() storer.Faults {
	return storer.Faults{LoseAnswers: p.Platform.Faults().LoseAnswers}
}

func servePlatform(t *testing.T) (*emulator.Platform, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := emulator.NewPlatform()
	served := make(chan error, 1)
	go func() { served <- p.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, p.Close())
		require.NoError(t, <-served)
	})
	return p, l.Addr().String()
}

func TestConsulConforms(t *testing.T) {
	p, address := servePlatform(t)
	c := storer.NewConsul(address, storer.ConsulOptions{})
	defer c.Close()
	conform(t, c, platformSwitches{p})
}

func TestConsulTimesOutOnAFrozenService(t *testing.T) {
	p, address := servePlatform(t)
	c := storer.NewConsul(address, storer.ConsulOptions{CallTimeout: 50})
	defer c.Close()
	p.SetFaults(emulator.PlatformFaults{Freeze: true})
	start := time.Now()
	var unavailable *storer.UnavailableError
	_, err := c.Get(t.Context(), "k")
	require.ErrorAs(t, err, &unavailable)
	require.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond)
	p.SetFaults(emulator.PlatformFaults{})
	require.Eventually(t, func() bool {
		_, err := c.Get(t.Context(), "k")
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}

func TestConsulCloseEndsAWatch(t *testing.T) {
	_, address := servePlatform(t)
	c := storer.NewConsul(address, storer.ConsulOptions{})
	_, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	waiting := watch(t.Context(), c, "k", 0, 3_600_000)
	c.Close()
	require.Error(t, (<-waiting).err)
}

func TestConsulConfinesKeysToItsPrefix(t *testing.T) {
	p, address := servePlatform(t)
	c := storer.NewConsul(address, storer.ConsulOptions{Prefix: "jackdawgate/"})
	defer c.Close()
	ok, err := c.CompareAndSwap(t.Context(), "a/b", []byte("1"), 0)
	require.NoError(t, err)
	require.True(t, ok)
	keys, err := p.Store().List(t.Context(), "")
	require.NoError(t, err)
	require.Equal(t, []string{"jackdawgate/a/b"}, keys)
	keys, err = c.List(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, []string{"a/b"}, keys)
}
