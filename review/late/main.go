//go:build review

// Command late plays the case of a store's late write of the entry of a process that has
// been replaced. See claim.txt of its case.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/review/fleet"
)

// The course of one round, from its beginning. All writes of the store's late answers lie
// within lostFor; the one that is late is carried out lateBy after it came.
const (
	backAfter  = 500 * time.Millisecond
	secondKill = 2500 * time.Millisecond
	lateBy     = 4500 * time.Millisecond
	// roundPause is the time from one round to the next, in which the machine counts as lost
	// no more: 4.5 s of lost answers, stableWindowMs, catchUpS and a little.
	roundPause = 14 * time.Second
	// settle is the time after the last round: stableWindowMs, recoverS and finishS.
	settle = 3*time.Second + 12*time.Second + 18*time.Second
	// finalReads is how long reads are tried again after that.
	finalReads = 10 * time.Second
)

// store loses the answer of one write of a host's entry and carries that write out late.
type store struct {
	inner  http.Handler
	record *fleet.Record
	mu     sync.Mutex
	// loseFor is the host whose next write of its entry is late, or "".
	loseFor string
	late    sync.WaitGroup
	writes  int
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		s.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := func() *http.Request {
		q := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		return q
	}
	s.mu.Lock()
	s.writes++
	host := s.loseFor
	lose := host != "" && bytes.Contains(body, []byte(`"`+platform.MemberKey(host)+`"`))
	if lose {
		s.loseFor = ""
	}
	s.mu.Unlock()
	if !lose {
		s.inner.ServeHTTP(w, again())
		return
	}
	s.record.Log("the store gets a write of the entry of %s and does not answer it", host)
	s.late.Go(func() {
		time.Sleep(lateBy)
		answer := httptest.NewRecorder()
		s.inner.ServeHTTP(answer, again())
		s.record.Log("the store carries that write out, %v later: %d", lateBy, answer.Code)
	})
	<-r.Context().Done()
}

func main() { os.Exit(run()) }

func run() int {
	record, err := fleet.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return fleet.NotRun
	}
	defer func() { _ = record.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	s := &store{record: record}
	f, err := fleet.Start(fleet.Options{Entries: 3, Bulks: 3, Servers: 3, Record: record, Store: func(h http.Handler) http.Handler {
		s.inner = h
		return s
	}})
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		record.Log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return fleet.NotRun
	}
	jobs := f.NewJobs()
	for range 8 {
		if !jobs.Submit(3, 20) {
			record.Log("cannot run: no job is accepted before the disruption")
			return fleet.NotRun
		}
	}
	if wrong := jobs.Complete(15 * time.Second); len(wrong) > 0 {
		record.Log("cannot run: jobs are not complete before the disruption: %s", strings.Join(wrong, "; "))
		return fleet.NotRun
	}
	prefix := strings.TrimSuffix(platform.MemberKey("x"), "x")
	f.LogMembers(prefix)
	for _, name := range []string{"store-0", "store-1"} {
		began := time.Now()
		if trouble {
			if err := round(f, s, name); err != nil {
				record.Log("cannot run: %v", err)
				return fleet.NotRun
			}
		}
		jobs.Submit(3, 5)
		time.Sleep(time.Until(began.Add(roundPause)))
		s.late.Wait()
		f.LogMembers(prefix)
	}
	time.Sleep(settle)
	f.LogMembers(prefix)
	wrong := jobs.Complete(finalReads)
	record.Log("%d batch jobs accepted, %d of them wrong at the end: %s", len(jobs.Accepted()), len(wrong), strings.Join(wrong, "; "))
	fmt.Printf("%d batch jobs accepted, %d of them wrong at the end\n", len(jobs.Accepted()), len(wrong))
	if len(wrong) > 0 {
		return fleet.Broken
	}
	return fleet.Held
}

// round kills the process of a host twice. Between the kills, the write of its entry gets no
// answer and is late. With TROUBLE=kills the store answers.
func round(f *fleet.Fleet, s *store, name string) error {
	h := f.Host(name)
	began := time.Now()
	s.mu.Lock()
	if os.Getenv("TROUBLE") != "kills" {
		s.loseFor = name
	}
	before := s.writes
	s.mu.Unlock()
	for _, at := range []time.Duration{0, secondKill} {
		time.Sleep(time.Until(began.Add(at)))
		h.Kill()
		f.Record.Log("the process of %s is killed", name)
		time.Sleep(backAfter)
		if err := f.StartHost(h); err != nil {
			return err
		}
		f.Record.Log("the process of %s is back", name)
	}
	time.Sleep(time.Until(began.Add(4500 * time.Millisecond)))
	s.mu.Lock()
	f.Record.Log("writes that the store got in these 4.5 s: %d, of which late: 1", s.writes-before)
	s.mu.Unlock()
	return nil
}
