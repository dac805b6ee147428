//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/storer"
)

// slots is how many requests a server runs at once; queueLength how many more wait.
const (
	slots       = 8
	queueLength = 24
)

// server is a sound backend server.
type server struct {
	world    *world
	id       string
	zone     string
	listener net.Listener
	http     *http.Server
	born     time.Time
	queue    chan struct{}
	running  chan struct{}

	mu  sync.Mutex
	seq int
	// runs counts the runs that began, by request identifier.
	runs map[string]int
	// events, size and gap are the events of an answer, the bytes of the data of each, and the
	// time between two.
	events, size int
	gap          time.Duration
}

// addServer starts a server and writes its entry every 1.2 s.
func (w *world) addServer(zone string, events, size int, gap time.Duration) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	s := &server{
		world: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(w.servers)), zone: zone, listener: l, born: time.Now(),
		queue: make(chan struct{}, slots+queueLength), running: make(chan struct{}, slots), runs: make(map[string]int),
		events: events, size: size, gap: gap,
	}
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	if err := s.writeEntry(); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-w.ctx.Done():
				return
			case <-time.After(1200 * time.Millisecond):
				_ = s.writeEntry()
			}
		}
	}()
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

func (s *server) writeEntry() error {
	s.mu.Lock()
	s.seq++
	entry := maps.Clone(names.ServerEntry)
	entry["service"], entry["address"], entry["zone"], entry["slots"] = serviceName, s.listener.Addr().String(), s.zone, slots
	entry["seq"], entry["born"] = s.seq, s.born.UnixMilli()
	s.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	_, err = s.world.ledger.Commit(s.world.ctx, storer.Transaction{Set: []storer.Item{{Key: "servers/" + s.id, Value: value}}})
	return err
}

// eventData returns the data of an event of the answer to a request.
func eventData(id string, event, size int) string {
	text := fmt.Sprintf("%s-%d-", id, event)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(names.RequestID)
	h := w.Header()
	h.Set(names.RequestID, id)
	h.Set(names.Instance, s.id)
	if e := r.Header.Get(names.Expect); e != "" && e != s.id {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.world.logf("server %s runs request %s of %s", s.id, id, r.Header.Get(names.Tenant))
	h.Set(names.Seal, "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	for event := first + 1; event <= s.events; event++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event, s.size)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// runsOf returns how often servers began to run a request.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		n += s.runs[id]
		s.mu.Unlock()
	}
	return n
}
