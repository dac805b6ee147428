// Package tester runs a whole fleet as separate processes on loopback addresses,
// so that tests can kill, freeze, restart and partition it. Only tests use it.
//
// A [Cluster] consists of one emulated platform (the key-value store that hosts
// coordinate through), emulated backend servers and hosts. The programs are built
// once per test process. Connections from hosts to other hosts and to the store go
// through relays, which can refuse or stall them. Connections to backend servers,
// and connections of callers, are direct.
//
// The methods count hosts and servers from zero, the names of processes count from
// one: host 0 is named host-1. The process of server 0 is named engine-1, and the
// server is registered as m1.
package tester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/stretchr/testify/require"
)

const (
	// adminToken is the operators' bearer token and adminHash its SHA-256.
	adminToken = "example-token"
	adminHash  = "4d1566a1d7df42a8517456d60ea06ed284e535cfe4c956aa6ee172dbcdf945f7"
	// startTimeout bounds the time that a process takes to start, to freeze, or,
	// for a backend server that crashed, to restart.
	startTimeout = 30 * time.Second
	// HostListTTL is how long callers may cache the list of hosts.
	HostListTTL = time.Second
	// restartPoll is the interval between requests to a backend server that may
	// be restarting.
	restartPoll = 50 * time.Millisecond
	// stopTimeout bounds a graceful stop of a host and each run of the
	// operators' command.
	stopTimeout = 60 * time.Second
)

// buildOnce builds the programs once for all tests of a process and returns the
// directory that contains them.
var buildOnce = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "jackdawgate-bin-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder, "../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return folder, nil
})

// RemoveBuild removes the directory of built programs. TestMain calls it after all
// tests have ended.
func RemoveBuild() {
	if folder, err := buildOnce(); err == nil {
		_ = os.RemoveAll(folder)
	}
}

// Cluster is the emulated platform, the emulated backend servers and the hosts of
// one test. All processes end with the test.
type Cluster struct {
	t               *testing.T
	bin             string
	folder          string
	ip              string
	port            int
	platform        string
	servers         []string
	hosts           []*Process
	callerAddresses []string
	// peerAddresses are the addresses on which the hosts listen for their peers.
	// Peers connect through peerRelays, and hosts connect to the store through
	// storeRelays; each has one entry per host.
	peerAddresses []string
	peerRelays    []*relay
	storeRelays   []*relay
}

// Process is one process of a Cluster.
type Process struct {
	Name    string
	command *exec.Cmd
	output  *bytes.Buffer
	// ready is closed when the process reports on its standard output that it
	// is ready, and exited when it has exited.
	ready  chan struct{}
	exited chan struct{}
}

// Start starts a cluster with the given numbers of hosts and backend servers,
// waits until the hosts are ready and registers the servers.
func Start(t *testing.T, hosts, servers int) *Cluster {
	t.Helper()
	bin, err := buildOnce()
	require.NoError(t, err)
	c := &Cluster{t: t, bin: bin, folder: t.TempDir(), ip: <-freeIPs, port: firstPort}
	t.Cleanup(func() { freeIPs <- c.ip })
	t.Cleanup(c.showLogs)
	c.platform = c.newAddress()
	c.start("platform", "standin", "platform", "-listen", c.platform)
	for i := range servers {
		c.servers = append(c.servers, c.newAddress())
		c.start(fmt.Sprintf("engine-%d", i+1), "standin", "engine", "-listen", c.servers[i])
	}
	for range hosts {
		c.callerAddresses = append(c.callerAddresses, c.newAddress())
		c.peerAddresses = append(c.peerAddresses, c.newAddress())
		c.peerRelays = append(c.peerRelays, startRelay(t, c.newAddress(), c.peerAddresses[len(c.peerAddresses)-1]))
		c.storeRelays = append(c.storeRelays, startRelay(t, c.newAddress(), c.platform))
	}
	c.hosts = make([]*Process, hosts)
	for i := range hosts {
		c.launchHost(i)
	}
	for _, h := range c.hosts {
		h.awaitReady(t)
	}
	for i, address := range c.servers {
		c.RunCLI("server", "put", fmt.Sprintf("m%d", i+1), "-address", address,
			"-data-centre", fmt.Sprintf("dc-%d", i%3+1), "-models", emulator.DefaultModel)
	}
	return c
}

// shownLogBytes is how many bytes of the end of each log a failed test shows.
const shownLogBytes = 6000

// showLogs shows the end of each process's log if the test failed.
func (c *Cluster) showLogs() {
	if !c.t.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(c.folder, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		c.t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-shownLogBytes):])
	}
}

// maxClusters bounds the clusters that run at once, independently of -parallel,
// because each has six processes or more.
const maxClusters = 4

// freeIPs holds one loopback IP address for each cluster that may run at once. A
// cluster takes one and returns it when its test ends, so that the ports of
// concurrent clusters never collide; within a cluster, ports are assigned in
// ascending order. The addresses are derived from the process ID, so that test
// processes that run at the same time differ too.
var freeIPs = func() chan string {
	c := make(chan string, maxClusters)
	for i := range maxClusters {
		c <- fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%64, os.Getpid()%250, i+1)
	}
	return c
}()

// firstPort precedes the first port of a cluster. The ports lie below the
// ephemeral range.
const firstPort = 20000

// newAddress returns an address that nothing else in the cluster uses.
func (c *Cluster) newAddress() string {
	c.port++
	return net.JoinHostPort(c.ip, strconv.Itoa(c.port))
}

// launchHost writes the settings of host i and starts the host without waiting
// until it is ready.
func (c *Cluster) launchHost(i int) {
	var seeds []string
	for _, r := range c.peerRelays {
		seeds = append(seeds, r.listener.Addr().String())
	}
	settings := fmt.Sprintf("[host]\nname = host-%d\ndata-centre = dc-%d\ncaller-listen = %s\npeer-listen = %s\npeer-address = %s\nseeds = %s\n"+
		"data-folder = %s\n[store]\naddress = %s\n[admin]\ntoken-sha256 = %s\n[callers]\ndrain-for = 10s\nhosts-for = %s\n[log]\nlevel = info\n",
		i+1, i%3+1, c.callerAddresses[i], c.peerAddresses[i], seeds[i], strings.Join(seeds, ","),
		filepath.Join(c.folder, fmt.Sprintf("data-%d", i+1)), c.storeRelays[i].listener.Addr(), adminHash, HostListTTL)
	file := filepath.Join(c.folder, fmt.Sprintf("host-%d.ini", i+1))
	require.NoError(c.t, os.WriteFile(file, []byte(settings), 0o600))
	c.hosts[i] = c.start(fmt.Sprintf("host-%d", i+1), "jackdawgate", "serve", "-settings", file)
}

// start starts a program, which is killed when the test ends. It waits until the
// process is ready, unless the process is a host.
func (c *Cluster) start(name, program string, args ...string) *Process {
	p := &Process{
		Name: name, command: exec.Command(filepath.Join(c.bin, program), args...),
		output: &bytes.Buffer{}, ready: make(chan struct{}), exited: make(chan struct{}),
	}
	log, err := os.OpenFile(c.LogFile(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	require.NoError(c.t, err)
	require.NoError(c.t, p.command.Start())
	go func() {
		defer close(p.exited)
		first := make([]byte, 4096)
		if n, _ := out.Read(first); bytes.Contains(first[:n], []byte("ready")) {
			close(p.ready)
		}
		_ = p.command.Wait()
		_ = log.Close()
	}()
	c.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	})
	if strings.HasPrefix(name, "host") {
		return p
	}
	p.awaitReady(c.t)
	return p
}

// awaitReady fails the test if the process exits before it is ready or is not
// ready within startTimeout.
func (p *Process) awaitReady(t *testing.T) {
	t.Helper()
	select {
	case <-p.ready:
	case <-p.exited:
		require.Fail(t, "process exited before it was ready", p.Name)
	case <-time.After(startTimeout):
		require.Fail(t, "process is not ready within the start timeout", p.Name)
	}
}

// LogFile returns the path of a process's log.
func (c *Cluster) LogFile(name string) string { return filepath.Join(c.folder, name+".log") }

// CallerAddress returns the address on which host i serves callers.
func (c *Cluster) CallerAddress(i int) string { return c.callerAddresses[i] }

// ServerAddress returns the address of backend server i.
func (c *Cluster) ServerAddress(i int) string { return c.servers[i] }

// Kill kills host i with SIGKILL and waits until it has exited.
func (c *Cluster) Kill(i int) {
	require.NoError(c.t, c.hosts[i].command.Process.Kill())
	<-c.hosts[i].exited
}

// Freeze suspends host i and returns when all of its threads are stopped. Thaw
// resumes it.
func (c *Cluster) Freeze(i int) {
	p := c.hosts[i].command.Process
	require.NoError(c.t, p.Signal(syscall.SIGSTOP))
	require.Eventually(c.t, func() bool { return allThreadsStopped(p.Pid) }, startTimeout, time.Millisecond)
}

// allThreadsStopped reports whether every thread of a process is stopped.
func allThreadsStopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		_, after, ok := strings.Cut(string(data), ") ")
		if err != nil || !ok || !strings.HasPrefix(after, "T") {
			return false
		}
	}
	return true
}

// Thaw resumes host i after Freeze.
func (c *Cluster) Thaw(i int) {
	require.NoError(c.t, c.hosts[i].command.Process.Signal(syscall.SIGCONT))
}

// Stop stops host i gracefully with SIGTERM, waits until it has exited and returns
// its exit code.
func (c *Cluster) Stop(i int) int {
	require.NoError(c.t, c.hosts[i].command.Process.Signal(syscall.SIGTERM))
	select {
	case <-c.hosts[i].exited:
	case <-time.After(stopTimeout):
		require.Fail(c.t, "host did not exit within the stop timeout", c.hosts[i].Name)
	}
	return c.hosts[i].command.ProcessState.ExitCode()
}

// Restart starts host i again, with the same name, addresses and data folder, and
// waits until it is ready.
func (c *Cluster) Restart(i int) {
	c.launchHost(i)
	c.hosts[i].awaitReady(c.t)
}

// Launch starts host i again as Restart does, without waiting until it is ready.
func (c *Cluster) Launch(i int) { c.launchHost(i) }

// SetPartition cuts the connections between two hosts in both directions, or
// heals the partition if on is false.
func (c *Cluster) SetPartition(a, b int, on bool) {
	c.SetPartitionOneWay(a, b, on)
	c.SetPartitionOneWay(b, a, on)
}

// SetPartitionOneWay cuts the connections that host from opens to host to, or
// heals the partition if on is false. Connections that host to opens are not
// affected.
func (c *Cluster) SetPartitionOneWay(from, to int, on bool) {
	c.peerRelays[to].setBlocked(fmt.Sprintf("host-%d", from+1), on)
}

// SetStorePartition cuts the connections of host i to the store, or heals the
// partition if on is false.
func (c *Cluster) SetStorePartition(i int, on bool) { c.storeRelays[i].setBlocked(storeClient, on) }

// StallConnections makes all open connections between hosts, and to the store,
// deliver nothing from now on without closing them. New connections work.
func (c *Cluster) StallConnections() {
	for i := range c.hosts {
		c.peerRelays[i].stallLinks()
		c.storeRelays[i].stallLinks()
	}
}

// SetFaults switches faults of the emulated platform or backend server at an
// address. The faults are a JSON object.
func (c *Cluster) SetFaults(address, faults string) {
	c.t.Helper()
	code, body := post(c.t, "http://"+address+"/faults", "", faults)
	require.Equal(c.t, 200, code, body)
}

// PlatformAddress returns the address of the emulated platform.
func (c *Cluster) PlatformAddress() string { return c.platform }

// RunCLI runs an operators' command, fails the test unless it exits with code 0,
// and returns its output.
func (c *Cluster) RunCLI(args ...string) string {
	c.t.Helper()
	out, code := c.TryRunCLI(args...)
	require.Equal(c.t, 0, code, out)
	return out
}

// TryRunCLI runs an operators' command and returns its output (standard output
// and standard error) and its exit code.
func (c *Cluster) TryRunCLI(args ...string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(c.bin, "jackdawgate"), args...)
	command.Env = []string{"JACKDAWGATE_TOKEN=" + adminToken, "JACKDAWGATE_HOST=" + strings.Join(c.callerAddresses, ",")}
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// CreateWorkspace creates a workspace with a rate limit and returns a new key of
// it.
func (c *Cluster) CreateWorkspace(name string, rate, burst int) string {
	c.t.Helper()
	c.RunCLI("workspace", "create", name, "-owner", "north", "-rate", fmt.Sprint(rate), "-burst", fmt.Sprint(burst))
	lines := strings.Fields(c.RunCLI("key", "give", name, "-name", name+"-key"))
	return lines[len(lines)-1]
}

// CountReceived returns how many of the calls that reached the backend server at
// an address contain text in their body. It waits for a server that is
// restarting.
func (c *Cluster) CountReceived(server, text string) int {
	c.t.Helper()
	var resp *http.Response
	require.Eventually(c.t, func() bool {
		var err error
		resp, err = http.Get("http://" + server + "/received")
		return err == nil
	}, startTimeout, restartPoll)
	defer func() { _ = resp.Body.Close() }()
	var calls []struct {
		Body string `json:"body"`
	}
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&calls))
	n := 0
	for _, call := range calls {
		if strings.Contains(call.Body, text) {
			n++
		}
	}
	return n
}
