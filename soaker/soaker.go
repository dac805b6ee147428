// Package soaker runs the real programs of a small fleet as processes on one
// machine, injects faults from outside, and checks what callers and backend servers
// observe.
//
// A soak has its own store, backend servers, operator and callers (package standin).
// A proxy on the loopback interface stands between each host and the store, between each
// host and the other hosts, and before each backend server. The seed determines which
// faults occur and how long they last. Their timing relative to other events differs from
// run to run, since processes and network are real. Each check is of a documented
// guarantee with its documented bound, so a single violation is a defect, however rarely
// it occurs.
//
// Under every seed, a share of the hosts' writes to the store is not answered and is carried
// out seconds later, as the platform's store may do.
//
// At the end all faults heal. Within the recovery bounds, every host must be ready
// and answer requests, and the results of every accepted job must be complete.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

// Options are the settings of a soak.
type Options struct {
	// Program is the path of the jackdawgated binary. Folder is where the hosts'
	// settings, logs and disks are kept.
	Program, Folder string
	// Previous is the path of the binary with which the hosts start; Program by default.
	Previous string
	Seed     uint64
	// FaultPeriod is how long new faults are started.
	FaultPeriod time.Duration
	// MemoryMB is the memory of a host in its settings, in MB; zero for none.
	MemoryMB int
	// EntryHosts, BulkHosts and Servers are the numbers of each at the start.
	EntryHosts, BulkHosts, Servers int
}

// Report is the outcome of a soak.
type Report struct {
	// Violations describes the violated guarantees. Faults lists what was injected,
	// each with the time since the start.
	Violations, Faults []string
	// Answered, Refused and Failed count requests. Jobs counts accepted batch jobs.
	Answered, Refused, Failed, Jobs int
}

// soak is the state of a running soak.
type soak struct {
	options   Options
	env       *environment
	load      *loadGenerator
	startedAt time.Time

	mu     sync.Mutex
	faults []string
}

// Run runs one soak with random faults. It returns an error if the soak could not be
// run; violations of guarantees are in the Report.
func Run(o Options) (Report, error) {
	return run(o, ownedJobs, (*soak).faultScenario)
}

// run runs a soak with the given scenario. It calls setUp before any servers or hosts
// are started.
func run(o Options, setUp, scenario func(*soak)) (Report, error) {
	env, storeAddr, err := newEnvironment(o.Seed)
	if err != nil {
		return Report{}, err
	}
	defer env.close()
	s := &soak{options: o, env: env, load: &loadGenerator{env: env}, startedAt: time.Now()}
	setUp(s)
	if err := s.prepare(storeAddr); err != nil {
		return Report{}, err
	}
	defer s.stopHosts()
	if err := s.startHosts(); err != nil {
		return Report{}, err
	}
	env.late.setActive(true)
	scenario(s)
	s.checkEntries()
	return s.report(), nil
}

// prepare writes the first configuration, starts the backend servers, and sets up the
// hosts.
func (s *soak) prepare(storeAddr string) error {
	ctx := context.Background()
	for _, workspace := range []string{plainWorkspace, plainWorkspace, greedyWorkspace, greedyWorkspace} {
		s.env.addKey(workspace)
	}
	if err := s.env.configure(ctx); err != nil {
		return err
	}
	for range s.options.Servers {
		if err := s.env.addServer(ctx); err != nil {
			return err
		}
	}
	for i := range s.options.EntryHosts + s.options.BulkHosts {
		h := &host{name: fmt.Sprintf("entry-%d", i), role: entryRole, folder: s.options.Folder, memoryMB: s.options.MemoryMB}
		if i >= s.options.EntryHosts {
			h.name, h.role = fmt.Sprintf("bulk-%d", i-s.options.EntryHosts), bulkRole
		}
		if err := h.setUp(i, storeAddr); err != nil {
			return err
		}
		s.env.hosts = append(s.env.hosts, h)
	}
	return nil
}

// Ports of a host. Each host has its own loopback address, where nothing else listens.
const (
	callersPort = 7001 + iota
	readyPort
	directoryPort
	peersPort
	peersProxyPort
)

// setUp assigns addresses to the host with the given number and writes its settings.
// The addresses contain the process id, so that concurrent soaks do not collide.
func (h *host) setUp(number int, storeAddr string) error {
	id := os.Getpid()
	at := func(port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", 1+(id>>8)%254, id%256, 1+number, port) }
	h.callersAddr, h.readyAddr, h.directoryAddr = at(callersPort), at(readyPort), at(directoryPort)
	h.peersAddr, h.peersProxyAddr = at(peersPort), at(peersProxyPort)
	var err error
	if h.storeProxy, err = newProxy(storeAddr); err != nil {
		return err
	}
	if h.peersProxy, err = newPeerProxy(h.peersProxyAddr, h.peersAddr); err != nil {
		return err
	}
	return h.prepareFiles()
}

func (s *soak) startHosts() error {
	program := s.options.Program
	if s.options.Previous != "" {
		program = s.options.Previous
	}
	for _, h := range s.env.hosts {
		if err := h.start(program, s.onUnexpectedExit(h)); err != nil {
			return err
		}
	}
	if !s.awaitReady(recoveryBound) {
		return errors.New("fleet is not ready within the recovery bound")
	}
	return nil
}

func (s *soak) onUnexpectedExit(h *host) func(error) {
	return func(err error) {
		s.env.checker.report("processes do not exit on their own", "%s: %v", h.name, err)
	}
}

// stopHosts terminates the processes that still run. If a guarantee was violated, they
// first dump their goroutines to their logs.
func (s *soak) stopHosts() {
	dump := s.env.checker.anyViolation()
	for _, h := range s.env.hosts {
		if h.process == nil {
			continue
		}
		select {
		case <-h.exited:
		default:
			h.signal(syscall.SIGCONT)
			h.terminate(dump)
		}
		h.storeProxy.close()
		h.peersProxy.close()
	}
}

// awaitReady waits until every entry host is ready and lists all entry hosts in its
// directory. It returns false after the timeout.
func (s *soak) awaitReady(timeout time.Duration) bool {
	c := newCaller()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.allReady(c) {
			return true
		}
	}
	return false
}

func (s *soak) allReady(c *standin.Caller) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, h := range s.env.hosts {
		if h.role != entryRole {
			continue
		}
		list, err := c.Resolve(ctx, h.directoryAddr)
		if err != nil || len(list) != s.options.EntryHosts || !c.Ready(ctx, h.readyAddr) {
			return false
		}
	}
	return true
}

const (
	// spoilers is how many of the first servers send other bytes than the events of their runs,
	// as long as they live, in each of spoilEvery streams.
	spoilers   = 2
	spoilEvery = 5
)

// faultScenario generates load and random faults, and then checks that the fleet
// recovers and that all guarantees held.
func (s *soak) faultScenario() {
	loadCtx, stopLoad := context.WithCancel(context.Background())
	s.load.start(loadCtx, s.options.Seed)
	removalCtx, stopRemoval := context.WithTimeout(context.Background(), s.options.FaultPeriod+jobBound)
	defer stopRemoval()
	var removal sync.WaitGroup
	removal.Go(func() { s.removeTemporaryRoute(removalCtx) })
	faultCtx, stopFaults := context.WithTimeout(context.Background(), s.options.FaultPeriod)
	f := newFaultInjector(s, s.options.Program)
	spoilers := s.env.allServers()[:min(spoilers, s.options.Servers)]
	for _, v := range spoilers {
		v.Spoil(spoilEvery)
	}
	f.run(faultCtx)
	stopFaults()
	for _, v := range spoilers {
		v.Spoil(0)
		s.recordFault("%s has spoiled %d answers", v.ID, v.Spoiled())
	}
	s.env.late.setActive(false)
	s.recordFault("healed")
	if !s.awaitReady(recoveryBound) {
		s.env.checker.report("the fleet recovers within the bound", "not every host is ready and listed after %v", recoveryBound)
	}
	removal.Wait()
	stopLoad()
	s.checkAfterLoad()
	s.checkRepeats()
}

// checkAfterLoad waits until the load, which was stopped, has ended, and checks the
// guarantees that hold over the whole soak.
func (s *soak) checkAfterLoad() {
	s.load.wg.Wait()
	s.checkEntryHosts()
	s.checkJobs()
	s.env.checker.checkQuota(greedyWorkspace, greedyRate, greedyBurst)
	s.env.checker.checkLostAnswers()
}

// maxOutcomes is how many of the last attempts a report about an entry host names.
const maxOutcomes = 4

// checkEntryHosts checks that each entry host answers a request within recoveryBound.
func (s *soak) checkEntryHosts() {
	c, r := newCaller(), rand.New(rand.NewPCG(s.options.Seed, 3))
	for _, h := range s.env.hosts {
		if h.role != entryRole {
			continue
		}
		var outcomes []string
		answered := false
		for end := time.Now().Add(recoveryBound); !answered && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			key, _ := s.env.pickKey(r, plainWorkspace)
			a := standin.Attempt{ID: s.load.nextID("e"), Key: key, Address: h.callersAddr, Route: standin.Idempotent}
			a.Path = a.Route.Prefix + a.ID
			a = c.Do(context.Background(), a, []byte(a.ID), callTimeout)
			answered = a.Status == http.StatusOK
			outcomes = append(outcomes, fmt.Sprintf("%s with key %s: status %d, %v", a.ID, key, a.Status, a.Err))
		}
		if !answered {
			s.env.checker.report("the fleet recovers within the bound", "%s answers no request in %d, the last %v", h.name, len(outcomes), outcomes[max(0, len(outcomes)-maxOutcomes):])
		}
	}
}

// jobBound is how long after all faults have healed every accepted job must be
// complete.
const jobBound = 20 * time.Second

// checkJobs checks that the results of every accepted job are complete within
// jobBound.
func (s *soak) checkJobs() {
	c, r := newCaller(), rand.New(rand.NewPCG(s.options.Seed, 4))
	pending := s.load.acceptedJobs()
	for end := time.Now().Add(jobBound); len(pending) > 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var unfinished []*job
		for _, j := range pending {
			if !s.load.readJob(context.Background(), c, r, j) {
				unfinished = append(unfinished, j)
			}
		}
		pending = unfinished
	}
	for _, j := range pending {
		s.env.checker.report("accepted jobs complete", "job %s lists %d of %d results", j.ID, len(j.results), len(j.Items))
	}
}

func (s *soak) recordFault(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, formatFault(s.startedAt, format, arguments...))
}

func (s *soak) report() Report {
	c := s.env.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{Violations: c.violations, Faults: s.faults, Answered: c.answered, Refused: c.refused, Failed: c.failed, Jobs: len(s.load.acceptedJobs())}
}

// emptyDisk deletes everything on a host's disk.
func emptyDisk(h *host) error {
	if err := os.RemoveAll(h.diskPath()); err != nil {
		return err
	}
	return os.MkdirAll(filepath.Clean(h.diskPath()), 0o700)
}
