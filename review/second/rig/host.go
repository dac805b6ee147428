//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// sampleInterval is how often the memory of the processes is read.
	sampleInterval = 50 * time.Millisecond
)

// host is one machine of the fleet and its process.
type host struct {
	rig                        *rig
	name, role, zone           string
	memoryMB                   int
	callers, ready, dir, peers string
	disk                       string

	mu      sync.Mutex
	process *os.Process
	ended   bool
	// peak is the highest resident anonymous memory of any process, in bytes. kills counts
	// the processes that the platform killed for their memory, exits those that ended by
	// themselves.
	peak         int64
	kills, exits int
	startedAt    time.Time
	watching     sync.WaitGroup
}

// addHost starts a host with a role on a machine with this memory.
func (r *rig) addHost(role, name, zone string, memoryMB int) (*host, error) {
	h := &host{rig: r, name: name, role: role, zone: zone, memoryMB: memoryMB}
	var err error
	for _, a := range []*string{&h.callers, &h.ready, &h.dir, &h.peers} {
		if *a, err = r.freeAddress(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\nregion = cantabria\nzones = cant-a=cantabria,cant-b=cantabria,cant-c=cantabria,cant-d=cantabria\nmemory-mb = %d\n", name, zone, memoryMB)
	if role == "entry" {
		text += fmt.Sprintf("descriptors = 4100\n\n[listen]\ncallers = %s\nready = %s\ndirectory = %s\npeers = %s\n", h.callers, h.ready, h.dir, h.peers)
	} else {
		text += fmt.Sprintf("descriptors = 8200\n\n[listen]\npeers = %s\n", h.peers)
	}
	text += fmt.Sprintf("\n[store]\naddress = %s\n\n[bounds]\nrevoke = 5000ms\ngrace = 8s\nkeep = 120s\nquota-window = 5s\nquota-share = 0.1\nquota-slack = 20\n", r.address)
	if role == "bulk" {
		h.disk = filepath.Join(r.folder, name+"-disk")
		if err := os.MkdirAll(h.disk, 0o700); err != nil {
			return nil, err
		}
		text += fmt.Sprintf("\n[disk]\nfolder = %s\nlosses = 1\n", h.disk)
	}
	if err := os.WriteFile(h.settings(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, h.start()
}

func (h *host) settings() string { return filepath.Join(h.rig.folder, h.name+".ini") }

// start starts the host's process, which the platform starts again whenever it ends.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.rig.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(h.rig.program, h.role, "-settings", h.settings())
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	h.process, h.startedAt = c.Process, time.Now()
	exited := make(chan struct{})
	h.watching.Go(func() { h.watchMemory(c.Process.Pid, exited) })
	h.watching.Go(func() {
		err := c.Wait()
		close(exited)
		h.mu.Lock()
		ended := h.ended
		if !ended {
			h.exits++
		}
		h.mu.Unlock()
		if ended {
			return
		}
		h.rig.note("%s: process ended: %v; started again in %v", h.name, err, restartDelay)
		time.AfterFunc(restartDelay, func() {
			if err := h.start(); err != nil {
				h.rig.note("%s: cannot be started again: %v", h.name, err)
			}
		})
	})
	return nil
}

// watchMemory kills the process when it uses more than the memory of its machine, as the
// platform does. Only resident anonymous memory counts here: neither the program's pages nor
// what the kernel holds for its sockets.
func (h *host) watchMemory(pid int, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(sampleInterval):
		}
		used, ok := anonymous(pid)
		if !ok {
			continue
		}
		h.mu.Lock()
		h.peak = max(h.peak, used)
		over := h.memoryMB > 0 && used > int64(h.memoryMB)<<20
		if over {
			h.kills++
		}
		p := h.process
		h.mu.Unlock()
		if over {
			h.rig.note("%s: process uses %d MB of %d MB; the platform kills it", h.name, used>>20, h.memoryMB)
			_ = p.Signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymous returns the resident anonymous memory of a process in bytes.
func anonymous(pid int) (int64, bool) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, false
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10, err == nil
		}
	}
	return 0, false
}

// end kills the process for good and waits for its end.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	if h.process != nil {
		_ = h.process.Signal(syscall.SIGKILL)
	}
	h.mu.Unlock()
	h.watching.Wait()
}

// counts returns the peak of the memory in MB, and how many processes were killed for it and
// how many ended in all.
func (h *host) counts() (peakMB, kills, exits int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int(h.peak >> 20), h.kills, h.exits
}

// diskMB returns how much is on the host's disk.
func (h *host) diskMB() int {
	var total int64
	list, _ := os.ReadDir(h.disk)
	for _, e := range list {
		if i, err := e.Info(); err == nil {
			total += i.Size()
		}
	}
	return int(total >> 20)
}

// isReady asks an entry host whether it is ready, as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + h.ready + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// waitReady waits until all entry hosts are ready and then a moment more, in which the bulk
// hosts create their groups.
func (r *rig) waitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, h := range r.hosts {
		for h.role == "entry" && !h.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	for _, h := range r.hosts {
		if _, _, exits := h.counts(); exits > 0 {
			return fmt.Errorf("the process of %s ended as it started", h.name)
		}
	}
	r.note("all hosts are ready")
	return nil
}
