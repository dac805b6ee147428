package crowder

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
)

// Process is a running program of this repository.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// Start starts a program that may open at most descriptors files and sockets. Its output goes
// to the file at log.
func Start(descriptors int, log string, program string, arguments ...string) (*Process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	limited := fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", descriptors)
	c := exec.Command("sh", append([]string{"-c", limited, program}, arguments...)...)
	c.Stdout, c.Stderr = out, out
	// The process must not outlive the test.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: c, exited: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Lives reports whether the process has not ended.
func (p *Process) Lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// PeakMemoryMB returns the most resident memory that the process has had, in MB.
func (p *Process) PeakMemoryMB() (int, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(v, "kB")))
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("no peak of the resident memory in %s", f.Name())
}

// Descriptors returns the number of files and sockets that the process has open.
func (p *Process) Descriptors() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(list), err
}
