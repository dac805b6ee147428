package crowder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/crowder"
	// The tests run binaries built from these packages. The imports make go test discard
	// cached results when the packages change.
	_ "github.com/jackdawgate/jackdawgate/hoster"
	_ "github.com/jackdawgate/jackdawgate/operator"
	_ "github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { harness.Main(m) }

const (
	// entryMemoryMB is the memory of the entry host in its settings, that of the smallest host.
	entryMemoryMB = 144
	// devMemoryMB bounds the memory of three hosts, a platform and engines in one process.
	devMemoryMB = 256
	// descriptors is the limit of each process on open files and sockets. reserved of them are
	// for servers, peers, the store, metrics and the directory.
	descriptors, reserved = 500, 40
	// attempts is how often an ordinary caller tries: a refusal is allowed.
	attempts = 20
	key      = "an-ordinary-callers-key"
)

// subject is a running process and how callers reach it.
type subject struct {
	process  *crowder.Process
	target   crowder.Target
	memoryMB int
	// peers, metrics and directory are the other addresses of an entry host.
	peers, metrics, directory string
	// ordinary makes one ordinary request and returns its status.
	ordinary func() int
}

// build builds a program of this repository and returns its path.
func build(t *testing.T, name string) string {
	path := filepath.Join(t.TempDir(), name)
	out, err := exec.Command("go", "build", "-o", path, "../cmd/"+name).CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// addresses returns n free loopback addresses with consecutive ports.
func addresses(t *testing.T, n int) []string {
	for range 20 {
		var out []string
		first, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		listeners := []net.Listener{first}
		port := first.Addr().(*net.TCPAddr).Port
		for i := range n {
			out = append(out, fmt.Sprintf("127.0.0.1:%d", port+i))
			if i == 0 {
				continue
			}
			if l, err := net.Listen("tcp4", out[i]); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == n {
			return out
		}
	}
	require.Fail(t, "no consecutive free ports")
	return nil
}

// startEntry starts an entry host on a platform's store with one server.
func startEntry(t *testing.T, program string) subject {
	return startEntryWith(t, program, "")
}

// startEntryWith is startEntry with more lines in the section of the host.
func startEntryWith(t *testing.T, program, lines string) subject {
	ledger := storer.NewMemoryLedger(timer.System())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	store := &http.Server{Handler: standin.NewStore(ledger), ReadHeaderTimeout: time.Minute}
	go func() { _ = store.Serve(listener) }()
	t.Cleanup(func() { _ = store.Close() })
	require.NoError(t, standin.NewOperator(ledger).Write(context.Background(), []standin.Workspace{{Name: "w", Keys: []string{key}, Rate: 1000, Burst: 1000}}))
	server, err := standin.NewServer("i-001", "z", ledger, func(a string) string { return a }, func(standin.Run) {})
	require.NoError(t, err)
	t.Cleanup(server.Crash)
	require.NoError(t, server.WriteEntry(context.Background(), false))

	at := addresses(t, 5)
	settings := filepath.Join(t.TempDir(), "entry.ini")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil,
		"[host]\nname = entry-0\ndata-centre = z\nmemory-mb = %d\n%s\n[listen]\npeers = %s\ncallers = %s\nready = %s\ndirectory = %s\nmetrics = %s\n\n[store]\naddress = %s\n",
		entryMemoryMB, lines, at[0], at[1], at[2], at[3], at[4], listener.Addr()), 0o600))
	log := filepath.Join(t.TempDir(), "entry.log")
	p, err := crowder.Start(descriptors, log, program, "entry", "-settings", settings)
	require.NoError(t, err)
	t.Cleanup(func() { stop(t, p, log) })
	caller := &standin.Caller{Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	require.Eventually(t, func() bool { return caller.Ready(context.Background(), at[2]) }, 30*time.Second, 50*time.Millisecond)
	a := standin.Attempt{ID: "r", Key: key, Address: at[1], Path: standin.NonIdempotent.Prefix + "r", Route: standin.NonIdempotent}
	target := crowder.Target{Address: at[1], Head: standin.OpenHead(a, time.Minute)}
	return subject{process: p, target: target, peers: at[0], metrics: at[4], directory: at[3], memoryMB: entryMemoryMB, ordinary: func() int {
		return caller.Do(context.Background(), a, []byte("ordinary"), 5*time.Second).Status
	}}
}

// startDev starts the fleet of jackdawgate dev.
func startDev(t *testing.T, program string) subject {
	at := addresses(t, 3)
	log := filepath.Join(t.TempDir(), "dev.log")
	p, err := crowder.Start(descriptors, log, program, "dev", "-listen", at[0], "-key", key)
	require.NoError(t, err)
	t.Cleanup(func() { stop(t, p, log) })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	ordinary := func() int {
		q, err := http.NewRequest(http.MethodPost, "http://"+at[0]+"/echo", strings.NewReader("ordinary"))
		require.NoError(t, err)
		q.Header.Set("Authorization", "Bearer "+key)
		r, err := client.Do(q)
		if err != nil {
			return 0
		}
		_ = r.Body.Close()
		return r.StatusCode
	}
	require.Eventually(t, func() bool { return ordinary() == http.StatusOK }, 60*time.Second, 100*time.Millisecond)
	head := "POST /echo HTTP/1.1\r\nHost: " + at[0] + "\r\nAuthorization: Bearer " + key + "\r\n"
	return subject{process: p, target: crowder.Target{Address: at[0], Head: head}, memoryMB: devMemoryMB, ordinary: ordinary}
}

// stop kills the process and shows the end of its log if the test has failed.
func stop(t *testing.T, p *crowder.Process, log string) {
	p.Kill()
	if !t.Failed() {
		return
	}
	text, _ := os.ReadFile(log)
	t.Logf("%s", text[max(0, len(text)-4000):])
}
