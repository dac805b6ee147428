package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// endlessCalls is how many requests one host gets at once while servers respond without
	// end, endlessSlots how many slots each server says that it has, so that they are sent.
	endlessCalls = 120
	endlessSlots = 40
	endlessStep  = 4
	// endlessTimeout is how long the callers wait.
	endlessTimeout = 3 * time.Second
)

// RunEndless runs a soak in which all servers respond without end, in one way after the
// other, to many requests at once. No process may use more memory than its host has. A seed
// plays every endlessStep-th way; as many seeds in a row play them all.
func RunEndless(o Options) (Report, error) {
	return run(o, func(*soak) {}, (*soak).endlessScenario)
}

func (s *soak) endlessScenario() {
	f := newFaultInjector(s, s.options.Program)
	for _, v := range s.env.allServers() {
		v.AnnounceSlots(endlessSlots)
		retry(func() bool { return v.WriteEntry(context.Background(), false) == nil })
	}
	for _, name := range s.endlessResponses() {
		s.sendToEndless(name)
		s.checkMemory(name)
		// A process that has not met these servers sends to them again.
		for _, h := range s.env.hosts {
			f.kill(h, false, 0)
		}
		if !s.awaitReady(recoveryBound) {
			s.env.checker.report("the fleet recovers within the bound", "not every host is ready and listed after %s", name)
		}
	}
	s.checkEntryHosts()
	s.checkJobs()
}

// endlessResponses returns the names of the ways that this seed plays.
func (s *soak) endlessResponses() []string {
	names := standin.EndlessResponses()
	slices.Sort(names)
	var out []string
	for i, name := range names {
		if (uint64(i)+s.options.Seed)%endlessStep == 0 {
			out = append(out, name)
		}
	}
	return out
}

// sendToEndless sends requests of all kinds to one host, and a job to another, while all
// servers respond in the named way.
func (s *soak) sendToEndless(name string) {
	time.Sleep(time.Second)
	s.recordFault("all servers respond without end: %s", name)
	for _, v := range s.env.allServers() {
		v.RespondEndlessly(name)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.load.wg.Go(func() { s.load.submitJobs(ctx, rand.New(rand.NewPCG(s.options.Seed, 31))) })
	var calls sync.WaitGroup
	for i := range endlessCalls {
		calls.Go(func() { s.sendToHost(s.env.hosts[0], rand.New(rand.NewPCG(s.options.Seed, uint64(900+i)))) })
	}
	calls.Wait()
	stop()
	s.load.wg.Wait()
	for _, v := range s.env.allServers() {
		v.RespondEndlessly("")
	}
}

// sendToHost sends one request to a host and checks that it gets a whole response or none.
func (s *soak) sendToHost(h *host, r *rand.Rand) {
	c := newCaller()
	routes := []standin.Route{standin.Resumable, standin.Streaming, standin.NonIdempotent, standin.Idempotent}
	key, _ := s.env.pickKey(r, plainWorkspace)
	a := standin.Attempt{ID: s.load.nextID("x"), Key: key, Address: h.callersAddr, Route: routes[r.IntN(len(routes))]}
	a.Path = a.Route.Prefix + a.ID
	s.env.checker.attemptStarted(a)
	a = c.Do(context.Background(), a, []byte(a.ID), endlessTimeout)
	s.env.checker.attemptEnded(a, false, false)
}

// checkMemory checks the most memory that each process has used.
func (s *soak) checkMemory(name string) {
	for _, h := range s.env.hosts {
		mb, err := h.peakMemoryMB()
		if err != nil {
			s.env.checker.report("the soak reads the memory of processes", "%s: %v", h.name, err)
			continue
		}
		s.recordFault("%s has used %d MB at most", h.name, mb)
		if mb > s.options.MemoryMB {
			s.env.checker.report("a process stays within its host's memory", "%s used %d MB of %d when servers responded without end: %s", h.name, mb, s.options.MemoryMB, name)
		}
	}
}

// peakMemoryMB returns the most resident memory that the host's process has used.
func (h *host) peakMemoryMB() (int, error) {
	h.mu.Lock()
	path := fmt.Sprintf("/proc/%d/status", h.process.Process.Pid)
	h.mu.Unlock()
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10, err
		}
	}
	return 0, fmt.Errorf("%s has no VmHWM", path)
}
