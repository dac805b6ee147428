//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawgate/jackdawgate/storer"
)

const (
	slots     = 8
	maxQueued = 24
)

// output is what a server's answer consists of.
type output struct {
	events int
	bytes  int
	gap    time.Duration
}

// server is a sound model server. It runs slots requests at once and queues some more.
type server struct {
	rig     *rig
	id      string
	address string
	http    *http.Server
	running chan struct{}
	waiting chan struct{}
	out     output
	// spoiling is set while the server spoils one of spoilEvery answers, counted by answers.
	// spoiled counts those.
	spoiling         atomic.Bool
	answers, spoiled atomic.Int64
	// endless is set while the server sends bytes without end in place of events.
	endless atomic.Bool

	mu   sync.Mutex
	runs []*execution
}

// execution is one run of a request.
type execution struct {
	begin, end time.Time
	// whole is set if the whole answer was sent.
	whole bool
}

// begin records that a request begins to run.
func (s *server) begin() *execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &execution{begin: time.Now()}
	s.runs = append(s.runs, v)
	return v
}

// end records that the run has ended, and whether the whole answer was sent.
func (s *server) end(v *execution, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.end, v.whole = time.Now(), whole
}

// addServer starts a server and writes its entry to the store.
func (r *rig) addServer(id, zone string, out output) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{rig: r, id: id, address: l.Addr().String(), running: make(chan struct{}, slots), waiting: make(chan struct{}, slots+maxQueued), out: out}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	r.servers = append(r.servers, s)
	value, err := json.Marshal(map[string]any{
		"service": "pistas-llm", "address": s.address, "zone": zone, "version": "1", "slots": slots, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	_, err = r.ledger.Commit(context.Background(), storer.Transaction{Set: []storer.Item{{Key: names.ServerPrefix + id, Value: value}}})
	return err
}

func (s *server) close() { _ = s.http.Close() }

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id := q.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.ServerID, s.id)
	if e := q.Header.Get(names.ExpectServer); e != "" && e != s.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	case <-q.Context().Done():
		return
	}
	run, whole := s.begin(), false
	defer func() { s.end(run, whole) }()
	w.Header().Set(names.Seal, "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if s.spoiling.Load() && s.answers.Add(1)%spoilEvery == 0 {
		after := int(s.spoiled.Add(1)%2) * spoilAfter
		s.rig.note("%s: spoils its answer to %s after %d events", s.id, id, after)
		s.stream(w, q, after)
		spoil(w)
	}
	if s.endless.Load() {
		n := s.spoiled.Add(1)
		s.endless.CompareAndSwap(true, n < endlessAnswers)
		s.rig.note("%s: sends bytes without end to %s", s.id, id)
		sendWithoutEnd(w)
		return
	}
	whole = s.stream(w, q, s.out.events)
}

// sendWithoutEnd sends bytes that are no event of the protocol until the caller closes.
func sendWithoutEnd(w http.ResponseWriter) {
	part := []byte(strings.Repeat("data: "+strings.Repeat("x", 250)+"\n\n", 64))
	for {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// spoil sends bytes that are no event of the protocol in place of the answer's events, and breaks
// the answer off.
func spoil(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "data: error: worker lost\n\n")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(5 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

// stream sends the events after the last one that the request names, and at most events in all. It
// reports whether the last event was sent.
func (s *server) stream(w http.ResponseWriter, q *http.Request, events int) bool {
	after, _ := strconv.Atoi(q.Header.Get(names.ResumeAfter))
	for event := after + 1; event <= min(after+events, s.out.events); event++ {
		select {
		case <-time.After(s.out.gap):
		case <-q.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(event, s.out.bytes)); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}

// eventData returns the data of an event.
func eventData(event, length int) string {
	head := strconv.Itoa(event) + ":"
	return head + strings.Repeat("x", max(0, length-len(head)))
}
