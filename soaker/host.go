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

// Bounds that the hosts of a soak are held to.
const (
	revoke        = 5 * time.Second
	grace         = 8 * time.Second
	recoverWithin = 15 * time.Second
)

// compactAfter makes hosts compact their logs every few jobs, in bytes.
const compactAfter = 2000

// host is one host of the fleet: a process, a disk and a way to the store.
type host struct {
	name, role, folder        string
	callers, ready, directory string
	peers                     string
	store                     *proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// expected says that the process was told to end, killed that it was killed.
	expected, killed bool
	// troubled is when the host last was stopped, paused or started.
	troubled time.Time
	paused   bool
}

// write writes the host's settings and gives it an empty disk, whatever an
// earlier soak left there: its store knows nothing of what that was.
func (h *host) write() error {
	if err := os.RemoveAll(h.disk()); err != nil {
		return err
	}
	text := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\n\n[listen]\npeers = %s\n", h.name, dataCentreOf(h.name), h.peers)
	if h.role == entryRole {
		text += fmt.Sprintf("callers = %s\nready = %s\ndirectory = %s\n", h.callers, h.ready, h.directory)
	}
	text += fmt.Sprintf("\n[store]\naddress = %s\n\n[bounds]\nrevoke = %dms\ngrace = %dms\n", h.store.address(), revoke.Milliseconds(), grace.Milliseconds())
	if h.role == bulkRole {
		text += fmt.Sprintf("\n[disk]\nfolder = %s\nlosses = 1\ncompact-after = %d\n", h.disk(), compactAfter)
		if err := os.MkdirAll(h.disk(), 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(h.settings(), []byte(text), 0o600)
}

func (h *host) settings() string { return filepath.Join(h.folder, h.name+".ini") }
func (h *host) disk() string     { return filepath.Join(h.folder, h.name+"-disk") }

// start starts the process. unexpected is called if it ends by itself, or with an
// error after it was told to end.
func (h *host) start(program string, unexpected func(error)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, h.role, "-settings", h.settings())
	c.Stdout, c.Stderr = out, out
	// A soak that dies must leave no process behind: it would go on at its store's
	// address, which a later soak may get.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended, h.expected, h.killed, h.paused, h.troubled = c, ended, false, false, false, time.Now()
	go func() {
		err := c.Wait()
		// Whoever waits for the end may start the process anew, which resets these.
		h.mu.Lock()
		expected := h.killed || (h.expected && err == nil)
		h.mu.Unlock()
		close(ended)
		if !expected {
			unexpected(err)
		}
	}()
	return nil
}

// signal sends a signal to the process that this soak started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubled = time.Now()
	h.expected = h.expected || s == syscall.SIGTERM
	h.killed = h.killed || s == syscall.SIGKILL
	if s != syscall.SIGHUP {
		h.paused = s == syscall.SIGSTOP
	}
	_ = h.process.Process.Signal(s)
}

// kill ends the process at once and waits for it.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// dumpTime is how long a process has to write down its goroutines.
const dumpTime = 2 * time.Second

// end ends the process at the end of a soak, with a dump of its goroutines in its
// log or without.
func (h *host) end(dump bool) {
	if dump {
		h.mu.Lock()
		h.killed = true
		_ = h.process.Process.Signal(syscall.SIGQUIT)
		h.mu.Unlock()
		select {
		case <-h.ended:
			return
		case <-time.After(dumpTime):
		}
	}
	h.kill()
}

// stop ends the process gracefully and says whether it kept to the grace.
func (h *host) stop() bool {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended:
		return true
	case <-time.After(grace):
		h.kill()
		return false
	}
}

// calmSince says whether the host has run undisturbed since an instant.
func (h *host) calmSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.paused && h.troubled.Before(t) && h.store.calmSince(t)
}
