package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds that the hosts of a soak must keep. The first two are in their settings.
const (
	revokeBound   = 5 * time.Second
	gracePeriod   = 8 * time.Second
	recoveryBound = 15 * time.Second
)

// compactAfter is the log size in bytes after which bulk hosts compact their logs.
// It is small so that they compact every few jobs.
const compactAfter = 2000

// host is one host of the fleet: a process, a disk, and the proxies to the store and from
// the other hosts.
type host struct {
	name, role, folder string
	// memoryMB is the memory in the host's settings, zero for none.
	memoryMB                              int
	callersAddr, readyAddr, directoryAddr string
	// The other hosts use peersProxyAddr, which has the same length as peersAddr.
	peersAddr, peersProxyAddr string
	storeProxy                *proxy
	peersProxy                *peerProxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// exitExpected is set after SIGTERM, and killed after SIGKILL or SIGQUIT.
	exitExpected, killed bool
	// lastDisturbed is when the process was last started or sent a signal.
	lastDisturbed time.Time
	paused        bool
}

// prepareFiles writes the host's settings and empties its disk. A disk left by an
// earlier soak is deleted, because this soak's store has no record of its contents.
func (h *host) prepareFiles() error {
	if err := os.RemoveAll(h.diskPath()); err != nil {
		return err
	}
	text := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\nmemory-mb = %d\n\n[listen]\npeers = %s\n", h.name, dataCentreOf(h.name), h.memoryMB, h.peersAddr)
	if h.role == entryRole {
		text += fmt.Sprintf("callers = %s\nready = %s\ndirectory = %s\n", h.callersAddr, h.readyAddr, h.directoryAddr)
	}
	text += fmt.Sprintf("\n[store]\naddress = %s\n\n[bounds]\nrevoke = %dms\ngrace = %dms\n", h.storeProxy.address(), revokeBound.Milliseconds(), gracePeriod.Milliseconds())
	if h.role == bulkRole {
		text += fmt.Sprintf("\n[disk]\nfolder = %s\nlosses = 1\ncompact-after = %d\n", h.diskPath(), compactAfter)
		if err := os.MkdirAll(h.diskPath(), 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(h.settingsPath(), []byte(text), 0o600)
}

func (h *host) settingsPath() string { return filepath.Join(h.folder, h.name+".ini") }
func (h *host) logPath() string      { return filepath.Join(h.folder, h.name+".log") }
func (h *host) diskPath() string     { return filepath.Join(h.folder, h.name+"-disk") }

// start starts the process. It calls unexpected if the process exits on its own, or
// with an error after SIGTERM.
func (h *host) start(program string, unexpected func(error)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, h.role, "-settings", h.settingsPath())
	c.Stdout, c.Stderr = out, out
	// The process must not outlive the soak: it would keep using the address of the
	// soak's store, which a later soak may be assigned.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited, h.exitExpected, h.killed, h.paused, h.lastDisturbed = c, exited, false, false, false, time.Now()
	go func() {
		err := c.Wait()
		// Read these before closing exited: whoever waits for the exit may restart the
		// process, which resets them.
		h.mu.Lock()
		expected := h.killed || (h.exitExpected && err == nil)
		h.mu.Unlock()
		close(exited)
		if !expected {
			unexpected(err)
		}
	}()
	return nil
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastDisturbed = time.Now()
	h.exitExpected = h.exitExpected || s == syscall.SIGTERM
	h.killed = h.killed || s == syscall.SIGKILL
	if s != syscall.SIGHUP {
		h.paused = s == syscall.SIGSTOP
	}
	_ = h.process.Process.Signal(s)
}

// kill kills the process and waits for its exit.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// dumpTimeout is how long a process may take to dump its goroutines.
const dumpTimeout = 2 * time.Second

// terminate ends the process at the end of a soak. If dump is set, the process first
// dumps its goroutines to its log.
func (h *host) terminate(dump bool) {
	if dump {
		h.mu.Lock()
		h.killed = true
		_ = h.process.Process.Signal(syscall.SIGQUIT)
		h.mu.Unlock()
		select {
		case <-h.exited:
			return
		case <-time.After(dumpTimeout):
		}
	}
	h.kill()
}

// stop stops the process gracefully. It returns false if the process had to be
// killed after the grace period.
func (h *host) stop() bool {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
		return true
	case <-time.After(gracePeriod):
		h.kill()
		return false
	}
}

// undisturbedSince reports whether the host and its connections to the store and from the
// other hosts have been undisturbed since t.
func (h *host) undisturbedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.paused && h.lastDisturbed.Before(t) && h.storeProxy.undisturbedSince(t) && h.peersProxy.undisturbedSince(t)
}
