package emulator_test

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/storer"
)

func TestFrozenEngineStallsAndKeepsConnections(t *testing.T) {
	f := serve(t, fastOptions())
	c := dialStream(t, f.address, chatBody("x", 300, `,"stream":true`))
	f.post(t, "/faults", `{"freeze":true}`)
	answered := make(chan error, 1)
	go func() {
		_, err := f.send("POST", chatPath, chatBody("y", 1, ""))
		answered <- err
	}()
	require.Eventually(t, func() bool { return len(f.Received()) == 2 }, testTimeout, time.Millisecond)
	drained := readUntilIdle(t, c)
	require.NotContains(t, drained, "[DONE]")
	require.Empty(t, answered, "a frozen engine must not respond")
	f.post(t, "/faults", `{"freeze":false}`)
	require.NoError(t, <-answered)
	require.Contains(t, readUntil(t, c, "[DONE]"), "[DONE]")
}

// readUntilIdle reads until no data arrives for 100 ms and returns the data. It
// fails the test if the connection ends.
func readUntilIdle(t *testing.T, c net.Conn) string {
	t.Helper()
	var got strings.Builder
	b := make([]byte, 4096)
	for {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		n, err := c.Read(b)
		got.Write(b[:n])
		if err != nil {
			var netErr net.Error
			require.ErrorAs(t, err, &netErr)
			require.True(t, netErr.Timeout(), "the connection must remain open")
			return got.String()
		}
	}
}

func TestSilenceAffectsOnlySelectedConnections(t *testing.T) {
	f := serve(t, fastOptions())
	c := dialStream(t, f.address, chatBody("x", 1_000_000, `,"stream":true`))
	f.SetFaults(emulator.EngineFaults{SilenceOpen: true})
	readUntilIdle(t, c)
	require.Equal(t, 200, f.post(t, chatPath, chatBody("y", 1, "")).status, "new connections must not be silent")

	f.client.CloseIdleConnections()
	f.SetFaults(emulator.EngineFaults{SilenceNext: 1})
	silent, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer func() { require.NoError(t, silent.Close()) }()
	_, err = silent.Write([]byte("GET /health HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	require.Empty(t, readUntilIdle(t, silent))
	require.Equal(t, 200, f.post(t, chatPath, chatBody("y", 1, "")).status)
	require.Zero(t, f.Faults().SilenceNext)
}

func TestCrashOnMarkerAndRestart(t *testing.T) {
	f := serve(t, fastOptions())
	require.Equal(t, 200, f.post(t, "/orders", `{"order":"load-model","model":"m2"}`).status)
	c := dialStream(t, f.address, chatBody("neighbour", 1_000_000, `,"stream":true`))
	f.post(t, "/faults", `{"crash-marker":"poison","restart-after-ms":300}`)
	_, err := f.send("POST", chatPath, chatBody("some poison here", 1, ""))
	require.Error(t, err)
	require.NotContains(t, readUntil(t, c, "[DONE]"), "[DONE]", "the connections of other calls must be closed")
	_, err = net.Dial("tcp", f.address)
	require.True(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
	require.Eventually(t, func() bool {
		r, err := f.send("POST", chatPath, chatBody("fine", 1, ""))
		return err == nil && r.status == 200
	}, testTimeout, 20*time.Millisecond)
	require.Equal(t, 404, f.post(t, "/v1/completions", `{"model":"m2","prompt":"x"}`).status, "loaded models must be lost")
	f.waitForLoad(t, 0, 0)
}

func TestTruncatedStreamHasCompleteFraming(t *testing.T) {
	f := serve(t, fastOptions())
	f.post(t, "/faults", `{"truncate-after-tokens":4}`)
	text, _, done := parseStream(t, f.post(t, chatPath, chatBody("x", 9, `,"stream":true`)).body)
	require.False(t, done)
	require.Equal(t, emulator.Text(emulator.DefaultModel, "user: x\n", 4), text)
}

func TestStalledStreamStaysOpen(t *testing.T) {
	f := serve(t, fastOptions())
	f.post(t, "/faults", `{"stall-after-tokens":2}`)
	c := dialStream(t, f.address, chatBody("x", 9, `,"stream":true`))
	text, _, done := parseStream(t, readUntilIdle(t, c))
	require.False(t, done)
	require.Equal(t, emulator.Text(emulator.DefaultModel, "user: x\n", 2), text)
}

func TestCutCallRunsOnlyIfItsBodyArrived(t *testing.T) {
	for _, cut := range []struct {
		place emulator.Cut
		runs  int
	}{
		{emulator.CutBeforeBody, 0},
		{emulator.CutMidBody, 0},
		{emulator.CutAfterBody, 1},
		{emulator.CutMidAnswer, 1},
	} {
		for name, o := range map[string]emulator.EngineOptions{"plain": {Plain: true}, "model": fastOptions()} {
			t.Run(name+" "+string(cut.place), func(t *testing.T) {
				f := serve(t, o)
				f.SetFaults(emulator.EngineFaults{Cut: cut.place, CutNext: 1})
				require.Equal(t, 200, sendStatus(t, f, "GET", "/health"), "the engine's own paths must not be cut")
				_, err := f.send("POST", chatPath, chatBody("x", 8, ""))
				require.Error(t, err)
				require.Len(t, f.Executions(), cut.runs)
				for _, x := range f.Executions() {
					require.Equal(t, 1, x.Finished)
				}
				require.Equal(t, 200, f.post(t, chatPath, chatBody("x", 8, "")).status, "the next call must succeed")
			})
		}
	}
}

// sendStatus sends a request without a body and returns the status of the
// response.
func sendStatus(t *testing.T, f *fixture, method, path string) int {
	t.Helper()
	r, err := f.send(method, path, "")
	require.NoError(t, err)
	return r.status
}

func TestCutStreamHasNoFinalChunk(t *testing.T) {
	f := serve(t, fastOptions())
	f.SetFaults(emulator.EngineFaults{Cut: emulator.CutMidAnswer, CutNext: 1})
	c := dialStream(t, f.address, chatBody("x", 8, `,"stream":true`))
	got := readUntil(t, c, "[DONE]")
	require.NotContains(t, got, "[DONE]")
	require.NotContains(t, got, "\r\n0\r\n", "the response must not have its final chunk")
}

func TestLoadReportLagAndReportIdleFault(t *testing.T) {
	o := fastOptions()
	o.LoadLag = 600
	f := serve(t, o)
	dialStream(t, f.address, chatBody("x", 1_000_000, `,"stream":true`))
	start := time.Now()
	f.waitForLoad(t, 1, 0)
	require.Greater(t, time.Since(start), 300*time.Millisecond)
	f.SetFaults(emulator.EngineFaults{ReportIdle: true})
	var r emulator.LoadReport
	f.get(t, "/load", &r)
	require.Zero(t, r.Running)
}

func TestUnknownFaultIsRefused(t *testing.T) {
	f := serve(t, fastOptions())
	require.Equal(t, 400, f.post(t, "/faults", `{"frozen":true}`).status)
	require.Equal(t, emulator.EngineFaults{}, f.Faults())
}

func TestPlatformFaultsOverHTTP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := emulator.NewPlatform()
	served := make(chan error, 1)
	go func() { served <- p.Serve(l) }()
	f := &fixture{address: l.Addr().String(), client: newClient()}
	f.post(t, "/hosts", `[{"name":"h1","address":"127.0.0.1:1","leaving":true}]`)
	hosts, err := p.Store().Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []storer.Host{{Name: "h1", Address: "127.0.0.1:1", Leaving: true}}, hosts)
	f.post(t, "/faults", `{"lose-answers":1}`)
	f.post(t, "/faults", `{"host-lag-ms":5}`)
	_, err = f.send("PUT", "/v1/kv/k?cas=0", "v")
	require.Error(t, err)
	require.Equal(t, emulator.PlatformFaults{HostLag: 5}, p.Faults())
	f.post(t, "/faults", `{"outage":true}`)
	require.Equal(t, 500, sendStatus(t, f, "GET", "/v1/kv/k"))
	f.post(t, "/faults", `{"outage":false}`)
	require.Equal(t, 200, sendStatus(t, f, "GET", "/v1/kv/k"))
	require.NoError(t, p.Close())
	require.NoError(t, <-served)
}
