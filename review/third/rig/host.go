//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The roles of the deploy file.
const (
	entryRole = "entry"
	bulkRole  = "bulk"
)

// program is the program of the deploy file.
const program = "target/jackdawgated"

// machine is what the platform says of the machine of a host, as in the pages' site sheets.
type machine struct{ memoryMB, descriptors int }

// The machines of a small site (pistas-norte).
var (
	frontMachine = machine{memoryMB: 134, descriptors: 4100}
	storeMachine = machine{memoryMB: 154, descriptors: 8200}
)

// host is one process of the fleet.
type host struct {
	world                            *world
	name, role, zone                 string
	callers, ready, directory, peers string
	machine                          machine

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	killed  bool
}

// addHost prepares a host and starts it.
func (w *world) addHost(role, zone string, m machine, proxied bool) (*host, error) {
	w.mu.Lock()
	n := 1
	for _, h := range w.hosts {
		if h.role == role {
			n++
		}
	}
	w.mu.Unlock()
	h := &host{world: w, name: fmt.Sprintf("%s-%s-%d", role, zone, n), role: role, zone: zone, machine: m}
	for _, a := range []*string{&h.callers, &h.ready, &h.directory, &h.peers} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if proxied {
		listen, err := freeAddress()
		if err != nil {
			return nil, err
		}
		p, err := newProxy(listen, h.peers)
		if err != nil {
			return nil, err
		}
		w.mu.Lock()
		w.proxies[h.peers] = p
		w.mu.Unlock()
	}
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h, h.start()
}

func (h *host) settingsPath() string { return filepath.Join(h.world.folder, h.name+".ini") }
func (h *host) logPath() string      { return filepath.Join(h.world.folder, h.name+".log") }
func (h *host) diskPath() string     { return filepath.Join(h.world.folder, h.name+"-disk") }

// writeSettings writes what the platform makes of the template in the deploy file.
func (h *host) writeSettings() error {
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nname = %s\ndata-centre = %s\nregion = cantabria\nzones = cant-a=cantabria,cant-b=cantabria,cant-c=cantabria,cant-d=cantabria\nmemory-mb = %d\ndescriptors = %d\n\n",
		h.name, h.zone, h.machine.memoryMB, h.machine.descriptors)
	if h.role == entryRole {
		fmt.Fprintf(&b, "[listen]\ncallers = %s\nready = %s\ndirectory = %s\npeers = %s\n\n", h.callers, h.ready, h.directory, h.peers)
	} else {
		fmt.Fprintf(&b, "[listen]\npeers = %s\n\n", h.peers)
	}
	fmt.Fprintf(&b, "[store]\naddress = %s\n\n[bounds]\nrevoke = 5000ms\ngrace = 8s\nkeep = 120s\nquota-window = 5s\nquota-share = 0.1\nquota-slack = 20\n\n", h.world.storeAddress)
	fmt.Fprintf(&b, "[disk]\nfolder = ")
	if h.role == bulkRole {
		if err := os.MkdirAll(h.diskPath(), 0o700); err != nil {
			return err
		}
		b.WriteString(h.diskPath())
	}
	b.WriteString("\nlosses = 1\n")
	return os.WriteFile(h.settingsPath(), []byte(b.String()), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, h.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.world.folder, names.SettingsVariable + "=" + h.settingsPath()}
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
		if !h.killed {
			h.world.logf("process of %s ended by itself: %v", h.name, err)
		}
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.killed = h.killed || s == syscall.SIGKILL
	_ = h.process.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	select {
	case <-h.exited:
	case <-time.After(5 * time.Second):
	}
}
