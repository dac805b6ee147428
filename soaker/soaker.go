// Package soaker runs the real programs of a small fleet as processes on one
// machine, troubles them from outside, and checks what callers and backend
// servers see.
//
// A soak has a store, backend servers, an operator and callers of its own (package
// standin), and a proxy on the loopback before the store of each host and before
// each backend server. Its seed decides which faults begin and for how long;
// when they meet what goes on differs from run to run, since processes and
// network are real. Whatever is judged is a promise with the bound that the pages
// state, so that a broken one is a finding, however rarely it shows.
//
// At the end all faults heal. Within the time to recover every host is ready,
// every accepted job is listed whole, and requests are answered at each host.
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
	// Program is the path of jackdawgated, Folder where settings, logs and disks
	// go.
	Program, Folder string
	Seed            uint64
	// Trouble is for how long faults begin.
	Trouble time.Duration
	// Entries, Bulks and Servers are how many there are.
	Entries, Bulks, Servers int
}

// Report is what became of a soak.
type Report struct {
	// Broken are the promises that were broken, Faults what was done when.
	Broken, Faults []string
	// Answered, Refused and Failed count requests; Jobs those that were accepted.
	Answered, Refused, Failed, Jobs int
}

// soak is one soak under way.
type soak struct {
	options Options
	world   *world
	load    *load
	began   time.Time

	mu     sync.Mutex
	faults []string
}

// Run makes one soak. The error is of the soak itself, not of what it judges.
func Run(o Options) (Report, error) {
	return run(o, func(*soak) {}, (*soak).play)
}

// run makes a soak that play plays. ready is called with it before there are servers
// or hosts.
func run(o Options, ready, play func(*soak)) (Report, error) {
	w, store, err := newWorld()
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	s := &soak{options: o, world: w, load: &load{world: w}, began: time.Now()}
	ready(s)
	if err := s.prepare(store); err != nil {
		return Report{}, err
	}
	defer s.endHosts()
	if err := s.startHosts(); err != nil {
		return Report{}, err
	}
	play(s)
	return s.report(), nil
}

// prepare writes the first configuration and the hosts' settings.
func (s *soak) prepare(store string) error {
	ctx := context.Background()
	for _, workspace := range []string{plain, plain, greedy, greedy} {
		s.world.addKey(workspace)
	}
	if err := s.world.configure(ctx); err != nil {
		return err
	}
	for range s.options.Servers {
		if err := s.world.addServer(ctx); err != nil {
			return err
		}
	}
	for i := range s.options.Entries + s.options.Bulks {
		h := &host{name: fmt.Sprintf("entry-%d", i), role: entryRole, folder: s.options.Folder}
		if i >= s.options.Entries {
			h.name, h.role = fmt.Sprintf("bulk-%d", i-s.options.Entries), bulkRole
		}
		if err := h.place(i, store); err != nil {
			return err
		}
		s.world.hosts = append(s.world.hosts, h)
	}
	return nil
}

// Ports of a host, on a loopback address of its own, where nobody else listens.
const (
	callersPort = 7001 + iota
	readyPort
	directoryPort
	peersPort
)

// place gives the host with this number its addresses and settings. Soaks that
// run beside one another have different process ids.
func (h *host) place(number int, store string) error {
	id := os.Getpid()
	at := func(port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", 1+(id>>8)%254, id%256, 1+number, port) }
	h.callers, h.ready, h.directory, h.peers = at(callersPort), at(readyPort), at(directoryPort), at(peersPort)
	var err error
	if h.store, err = newProxy(store); err != nil {
		return err
	}
	return h.write()
}

func (s *soak) startHosts() error {
	for _, h := range s.world.hosts {
		if err := h.start(s.options.Program, s.unexpected(h)); err != nil {
			return err
		}
	}
	if !s.awaitReady(recoverWithin) {
		return errors.New("fleet does not become ready")
	}
	return nil
}

func (s *soak) unexpected(h *host) func(error) {
	return func(err error) {
		s.world.judge.breaks("processes do not end by themselves", "%s: %v", h.name, err)
	}
}

// endHosts ends what is left of the fleet. After a broken promise the processes
// first write down what their goroutines were doing.
func (s *soak) endHosts() {
	broken := s.world.judge.any()
	for _, h := range s.world.hosts {
		if h.process == nil {
			continue
		}
		select {
		case <-h.ended:
		default:
			h.signal(syscall.SIGCONT)
			h.end(broken)
		}
		h.store.close()
	}
}

// awaitReady waits until every host is ready and every directory names them all.
func (s *soak) awaitReady(most time.Duration) bool {
	c := newCaller()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.ready(c) {
			return true
		}
	}
	return false
}

func (s *soak) ready(c *standin.Caller) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, h := range s.world.hosts {
		if h.role != entryRole {
			continue
		}
		list, err := c.Resolve(ctx, h.directory)
		if err != nil || len(list) != s.options.Entries || !c.Ready(ctx, h.ready) {
			return false
		}
	}
	return true
}

// play makes load and trouble, and then checks that all recovers.
func (s *soak) play() {
	loading, endLoad := context.WithCancel(context.Background())
	s.load.begin(loading, s.options.Seed)
	troubling, endTrouble := context.WithTimeout(context.Background(), s.options.Trouble)
	t := &troubler{
		world: s.world, program: s.options.Program, random: rand.New(rand.NewPCG(s.options.Seed, 1)), note: s.note, busy: make(map[string]bool),
	}
	t.run(troubling)
	endTrouble()
	s.note("healed")
	if !s.awaitReady(recoverWithin) {
		s.world.judge.breaks("the fleet recovers in time", "not every host is ready and named after %v", recoverWithin)
	}
	endLoad()
	s.load.running.Wait()
	s.checkHosts()
	s.checkJobs()
	s.world.judge.checkQuota(greedy, greedyRate, greedyBurst)
	s.world.judge.checkCut()
}

// checkHosts checks that each host answers a request.
func (s *soak) checkHosts() {
	c, r := newCaller(), rand.New(rand.NewPCG(s.options.Seed, 3))
	for _, h := range s.world.hosts {
		if h.role != entryRole {
			continue
		}
		answered := false
		for end := time.Now().Add(recoverWithin); !answered && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			key, _ := s.world.key(r, plain)
			a := standin.Attempt{ID: s.load.id("e"), Key: key, Address: h.callers, Route: standin.Idempotent}
			a.Path = a.Route.Prefix + a.ID
			answered = c.Do(context.Background(), a, []byte(a.ID), patience).Status == http.StatusOK
		}
		if !answered {
			s.world.judge.breaks("the fleet recovers in time", "%s answers no request", h.name)
		}
	}
}

// finish is how long jobs have to be listed whole after all has healed.
const finish = 20 * time.Second

// checkJobs checks that every accepted job is listed whole.
func (s *soak) checkJobs() {
	c, r := newCaller(), rand.New(rand.NewPCG(s.options.Seed, 4))
	open := s.load.accepted()
	for end := time.Now().Add(finish); len(open) > 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var left []*job
		for _, j := range open {
			if !s.load.readOne(context.Background(), c, r, j) {
				left = append(left, j)
			}
		}
		open = left
	}
	for _, j := range open {
		s.world.judge.breaks("accepted jobs end", "job %s lists %d of %d results", j.ID, len(j.seen), len(j.Items))
	}
}

func (s *soak) note(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, describe(s.began, format, arguments...))
}

func (s *soak) report() Report {
	j := s.world.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	return Report{Broken: j.broken, Faults: s.faults, Answered: j.answered, Refused: j.refused, Failed: j.failed, Jobs: len(s.load.accepted())}
}

// emptyDisk gives a host an empty disk.
func emptyDisk(h *host) error {
	if err := os.RemoveAll(h.disk()); err != nil {
		return err
	}
	return os.MkdirAll(filepath.Clean(h.disk()), 0o700)
}
