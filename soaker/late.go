package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// One of lateShare writes of hosts to the store is not answered and is carried out up
	// to lateBound later, if its condition holds then. Of writes of hosts' entries, which
	// are few, it is one of lateEntryShare.
	lateShare      = 8
	lateEntryShare = 2
	lateBound      = 6 * timer.Second
	// lateEntryDelay is how late the writes of delayNext are.
	lateEntryDelay timer.Millis = 4500
	// entryBound is how long after the last late write the entry of every host names the
	// process that runs.
	entryBound = 3 * time.Second
)

// entryPrefix begins the keys of hosts' entries.
var entryPrefix = platform.MemberKey("")

// lateWrites decides which writes of hosts the store carries out late. It is safe for
// concurrent use.
type lateWrites struct {
	mu     sync.Mutex
	random *rand.Rand
	active bool
	count  int
	// next holds the keys whose next write is late by lateEntryDelay. Once it was received,
	// the channel is closed.
	next map[string]chan struct{}
}

func newLateWrites(seed uint64) *lateWrites {
	return &lateWrites{random: rand.New(rand.NewPCG(seed, 13)), next: make(map[string]chan struct{})}
}

// setActive begins to make writes late, or ends it.
func (l *lateWrites) setActive(active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = active
}

// draw decides on one write.
func (l *lateWrites) draw(w storer.Write) (timer.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := lateShare
	if len(w.Keys) == 1 && strings.HasPrefix(w.Keys[0], entryPrefix) {
		share = lateEntryShare
		if received, ok := l.next[w.Keys[0]]; ok {
			delete(l.next, w.Keys[0])
			close(received)
			l.count++
			return lateEntryDelay, true
		}
	}
	if !l.active || l.random.IntN(share) > 0 {
		return 0, false
	}
	l.count++
	return timer.Millis(l.random.Int64N(int64(lateBound))), true
}

// delayNext makes the next write of a key late, and returns a channel that is closed when
// the store has received that write.
func (l *lateWrites) delayNext(key string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	received := make(chan struct{})
	l.next[key] = received
	return received
}

// total returns how many writes were late.
func (l *lateWrites) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// checkEntries checks that the entry of every host, all of which run, names its process
// entryBound after the last late write was carried out.
func (s *soak) checkEntries() {
	s.env.late.setActive(false)
	s.env.store.Wait()
	s.recordFault("%d writes of hosts were carried out late", s.env.late.total())
	var missing []string
	for end := time.Now().Add(entryBound); ; time.Sleep(50 * time.Millisecond) {
		var err error
		if missing, err = s.withoutEntry(); err != nil {
			s.env.checker.report("the soak reads entries and logs", "%v", err)
			return
		}
		if len(missing) == 0 || time.Now().After(end) {
			break
		}
	}
	for _, name := range missing {
		s.env.checker.report("the entry of a host names its process", "%s has none, or one of an earlier process", name)
	}
}

// withoutEntry returns the names of the hosts whose entry does not name their process.
func (s *soak) withoutEntry() ([]string, error) {
	items, _, err := s.env.ledger.Range(context.Background(), entryPrefix)
	if err != nil {
		return nil, err
	}
	named := make(map[string]string)
	for _, i := range items {
		var m cataloger.Member
		if err := cbor.Unmarshal(i.Value, &m); err != nil {
			return nil, err
		}
		named[i.Key] = m.Incarnation
	}
	var out []string
	for _, h := range s.env.hosts {
		incarnation, err := h.incarnation()
		if err != nil {
			return nil, err
		}
		if incarnation == "" || named[platform.MemberKey(h.name)] != incarnation {
			out = append(out, h.name)
		}
	}
	return out, nil
}

// incarnation returns the incarnation of the host's process, by the last line of its log
// that says that it has written its entry, or "" if there is none.
func (h *host) incarnation() (string, error) {
	log, err := os.ReadFile(h.logPath())
	if err != nil {
		return "", err
	}
	found := ""
	for line := range bytes.SplitSeq(log, []byte("\n")) {
		var v struct{ Msg, Incarnation string }
		if bytes.Contains(line, []byte(`"entry written"`)) && json.Unmarshal(line, &v) == nil && v.Msg == "entry written" {
			found = v.Incarnation
		}
	}
	return found, nil
}

// RunLateEntries runs a soak in which hosts are killed twice, and the store carries out the
// first entry of the process between the kills when the next one has written its own.
func RunLateEntries(o Options) (Report, error) {
	return run(o, func(*soak) {}, (*soak).lateEntryScenario)
}

// lateEntryScenario submits jobs, hides two bulk hosts and an entry host if late writes can,
// and checks that all jobs can be read.
func (s *soak) lateEntryScenario() {
	s.env.late.setActive(false)
	ctx, stop := context.WithCancel(context.Background())
	s.load.start(ctx, s.options.Seed)
	time.Sleep(s.options.FaultPeriod / 2)
	f := newFaultInjector(s, s.options.Program)
	hidden := map[string]int{entryRole: 1, bulkRole: 2}
	for _, h := range s.env.hosts {
		if hidden[h.role]--; hidden[h.role] >= 0 {
			f.replaceWithLateEntry(h)
		}
	}
	time.Sleep(s.options.FaultPeriod / 2)
	stop()
	s.load.wg.Wait()
	s.checkEntries()
	s.checkEntryHosts()
	s.checkJobs()
}

// replaceWithLateEntry kills a host, and kills it again once the store has received the
// entry of its new process, which it carries out late.
func (f *faultInjector) replaceWithLateEntry(h *host) {
	f.record("%s is killed", h.name)
	received := f.env.late.delayNext(platform.MemberKey(h.name))
	f.kill(h, false, 0)
	select {
	case <-received:
	case <-time.After(recoveryBound):
		f.env.checker.report("the soak delays an entry", "%s writes none", h.name)
	}
	f.record("%s is killed again", h.name)
	f.kill(h, false, 0)
}
