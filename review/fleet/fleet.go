//go:build review

// Package fleet runs a small fleet of real processes of jackdawgated for the review's
// scripts, with the stand-ins of package standin around it.
//
// All processes use loopback addresses. Settings are made from the template of the deploy
// file, commands are those of the deploy file.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Key is the API key of the only tenant.
const Key = "key-plain-1"

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Log writes one line with the time since the start.
func (r *Record) Log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Close closes the record.
func (r *Record) Close() error { return r.file.Close() }

// Host is one process of the fleet.
type Host struct {
	Name, Role, Zone       string
	Callers, Ready, Direct string
	peers                  string
	folder                 string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	killed  bool
}

// Options are the settings of a Fleet.
type Options struct {
	// Entries, Bulks and Servers are the numbers of hosts and backend servers.
	Entries, Bulks, Servers int
	Record                  *Record
	// Store wraps the handler of the store's calls.
	Store func(http.Handler) http.Handler
	// Server is called with each backend server before it is announced; it returns the
	// address to announce.
	Server func(address string) string
}

// Fleet is a small fleet with its surroundings.
type Fleet struct {
	Ledger   *storer.MemoryLedger
	Operator *standin.Operator
	Caller   *standin.Caller
	Hosts    []*Host
	Servers  []*standin.Server
	Record   *Record

	folder      string
	commands    map[string][]string
	storeServer *http.Server
	mu          sync.Mutex
	stopping    bool
	ownEnds     map[string]int
}

// Start starts the store, the backend servers and all hosts, and waits until all entry
// hosts are ready.
func Start(o Options) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Ledger: storer.NewMemoryLedger(timer.System()), Record: o.Record, folder: folder, ownEnds: make(map[string]int),
		Caller: &standin.Caller{Client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}},
	}
	if f.commands, err = commands(); err != nil {
		return f, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	var handler http.Handler = standin.NewStore(f.Ledger)
	if o.Store != nil {
		handler = o.Store(handler)
	}
	f.storeServer = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.storeServer.Serve(l) }()
	f.Operator = standin.NewOperator(f.Ledger)
	ctx := context.Background()
	if err := f.Operator.Write(ctx, []standin.Workspace{{Name: "plain", Keys: []string{Key}}}); err != nil {
		return f, err
	}
	for i := range o.Servers {
		if err := f.addServer(ctx, fmt.Sprintf("i-%02d", i), zone(i), o.Server); err != nil {
			return f, err
		}
	}
	for i := range o.Entries {
		f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("front-%d", i), Role: "entry", Zone: zone(i), folder: folder})
	}
	for i := range o.Bulks {
		f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("store-%d", i), Role: "bulk", Zone: zone(i), folder: folder})
	}
	for i, h := range f.Hosts {
		if err := h.writeSettings(ip(i), l.Addr().String()); err != nil {
			return f, err
		}
		if err := f.StartHost(h); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(o.Entries)
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func (f *Fleet) addServer(ctx context.Context, id, zone string, address func(string) string) error {
	if address == nil {
		address = func(a string) string { return a }
	}
	s, err := standin.NewServer(id, zone, f.Ledger, address, func(r standin.Run) {
		if r.Complete {
			f.Record.Log("server %s has completed %s", r.Server, r.ID)
			return
		}
		f.Record.Log("server %s runs %s", r.Server, r.ID)
	})
	if err != nil {
		return err
	}
	f.Servers = append(f.Servers, s)
	return s.WriteEntry(ctx, false)
}

// commands returns the commands of the deploy file by role.
func commands() (map[string][]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	out := make(map[string][]string)
	for _, m := range regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\nrun = "([^"]+)"$`).FindAllStringSubmatch(string(data), -1) {
		out[m[1]] = strings.Fields(m[2])
	}
	if len(out["entry"]) == 0 || len(out["bulk"]) == 0 {
		return nil, errors.New("the deploy file has no commands for both roles")
	}
	return out, nil
}

// Ports of a host. Each host has a loopback address of its own, on which nothing else listens.
const (
	callersPort = 7360 + iota
	readyPort
	directoryPort
	peersPort
	metricsPort
)

// ip returns the address of the host with this number, which contains the process identifier
// so that scripts that run at the same time do not meet.
func ip(number int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(id>>8)%254, id%256, 1+number)
}

// bounds are those of the users' sheets.
var bounds = map[string]string{
	"bounds.revokeMs": "5000", "bounds.graceS": "8", "bounds.statusS": "120", "bounds.quotaWindowS": "5", "bounds.quotaOver": "0.1", "bounds.quotaSlack": "20",
	"faultTolerance.machines": "1", "limits.memoryMb": "284", "region": "r",
}

// writeSettings fills in the template of the deploy file.
func (h *Host) writeSettings(ip, store string) error {
	template, err := os.ReadFile("deploy/host.ini")
	if err != nil {
		return err
	}
	values := map[string]string{"nodeName": h.Name, "zone": h.Zone, "platform.address": store}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	h.Callers, h.Ready, h.Direct, h.peers = at(callersPort), at(readyPort), at(directoryPort), at(peersPort)
	if h.Role == "entry" {
		values["listen.front"], values["listen.readyAddr"], values["listen.directory"] = h.Callers, h.Ready, h.Direct
	} else {
		values["dataDir"] = filepath.Join(h.folder, h.Name+"-disk")
		if err := os.MkdirAll(values["dataDir"], 0o700); err != nil {
			return err
		}
	}
	text := strings.ReplaceAll(string(template), "{{ip}}:{{portRange.0}}", h.peers)
	text = strings.ReplaceAll(text, "{{ip}}:{{portRange.1}}", at(metricsPort))
	text = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(text, h.Zone+"="+bounds["region"])
	text = regexp.MustCompile(`\{\{[#/][^}]*\}\}`).ReplaceAllString(text, "")
	text = regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		name := strings.Trim(s, "{}")
		if v, ok := bounds[name]; ok {
			return v
		}
		return values[name]
	})
	return os.WriteFile(h.settings(), []byte(text), 0o600)
}

func (h *Host) settings() string { return filepath.Join(h.folder, h.Name+".ini") }

// StartHost starts the process of h with the command of the deploy file.
func (f *Fleet) StartHost(h *Host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(h.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := f.commands[h.Role]
	c := exec.Command(command[0], command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.folder, os.Getenv("BOOT_VARIABLE") + "=" + h.settings()}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited, h.killed = c, exited, false
	go func() {
		err := c.Wait()
		h.mu.Lock()
		expected := h.killed
		h.mu.Unlock()
		close(exited)
		if !expected {
			f.Record.Log("the process of %s has ended by itself: %v", h.Name, err)
			f.restart(h)
		}
	}()
	return nil
}

// restartDelay is the time after which a process that has ended by itself is started again.
const restartDelay = 500 * time.Millisecond

// restart counts the end of a process and starts it again.
func (f *Fleet) restart(h *Host) {
	f.mu.Lock()
	f.ownEnds[h.Name]++
	f.mu.Unlock()
	time.Sleep(restartDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return
	}
	err := f.StartHost(h)
	f.Record.Log("the process of %s is started again: %v", h.Name, err)
}

// OwnEnds returns how often the process of each host has ended by itself.
func (f *Fleet) OwnEnds() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.ownEnds)
}

// Signal sends a signal to the process of h.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.killed = h.killed || s == syscall.SIGKILL
	_ = h.process.Process.Signal(s)
}

// Kill kills the process of h and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.exited
}

// Host returns the host of this name.
func (f *Fleet) Host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// EntryHosts returns the hosts that take calls.
func (f *Fleet) EntryHosts() []*Host {
	var out []*Host
	for _, h := range f.Hosts {
		if h.Role == "entry" {
			out = append(out, h)
		}
	}
	return out
}

func (f *Fleet) awaitReady(entries int) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range f.EntryHosts() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			list, err := f.Caller.Resolve(ctx, h.Direct)
			if err == nil && len(list) == entries && f.Caller.Ready(ctx, h.Ready) {
				ready++
			}
			cancel()
		}
		if ready == entries {
			f.Record.Log("all entry hosts are ready")
			return nil
		}
	}
	return errors.New("the fleet is not ready after 15 s")
}

// Stop ends all processes. With KEEP set, the folder with their logs is kept.
func (f *Fleet) Stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	for _, h := range f.Hosts {
		if h.process == nil {
			continue
		}
		h.Signal(syscall.SIGCONT)
		h.Kill()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close()
	}
	for _, s := range f.Servers {
		s.Crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println(f.folder)
	}
}

// LogMembers writes which hosts have an entry in the store.
func (f *Fleet) LogMembers(prefix string) {
	items, _, err := f.Ledger.Range(context.Background(), prefix)
	var names []string
	for _, i := range items {
		names = append(names, strings.TrimPrefix(i.Key, prefix))
	}
	f.Record.Log("the store has the entries of %s %v", strings.Join(names, ", "), err)
}
