package soaker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

const (
	// stopTimeout is how long callers wait for an answer while their host stops: for longer
	// than its grace period.
	stopTimeout = 20 * time.Second
	// longWork is how long servers work on a request that its host cannot wait for.
	longWork = 15 * time.Second
	// wholeBody is the body of the requests.
	wholeBody = "body"
	// listTime is how long callers use a host that has been told to stop, from a list of
	// addresses that they got before.
	listTime = 3 * time.Second
)

// RunStops runs a soak in which an entry host is stopped while servers take longer than its
// grace period. Every request that it has read must get an answer before its process ends,
// and what it refuses must not have run.
func RunStops(o Options) (Report, error) {
	setUp := func(s *soak) { s.env.operator.SetTimeout(stopTimeout) }
	return run(o, setUp, (*soak).stopScenario)
}

// stopScenario stops one entry host after the other: once when servers were always slow,
// and once when they were fast until just before.
func (s *soak) stopScenario() {
	for n, h := range s.env.hosts[:2] {
		if n == 1 {
			s.setWork(0)
			s.sendToHostFast(h)
		}
		s.setWork(longWork)
		s.stopUnderWork(h)
		s.setWork(0)
		if !s.awaitReady(recoveryBound) {
			s.env.checker.report("the fleet recovers within the bound", "not every host is ready and listed after the stop of %s", h.name)
		}
	}
	s.checkEntryHosts()
}

func (s *soak) setWork(d time.Duration) {
	for _, v := range s.env.allServers() {
		v.SetWork(d)
	}
}

// sendToHostFast sends requests that show the host how long servers take.
func (s *soak) sendToHostFast(h *host) {
	for i := range 20 {
		c := s.dial(h, fmt.Sprintf("before-%d", i))
		c.sendWhole(standin.NonIdempotent)
	}
}

// stopUnderWork stops a host, and sends it requests before and meanwhile.
func (s *soak) stopUnderWork(h *host) {
	var calls sync.WaitGroup
	routes := []standin.Route{standin.NonIdempotent, standin.Idempotent, standin.Streaming, standin.Resumable}
	at := func(delay time.Duration, call func()) {
		calls.Go(func() {
			time.Sleep(delay)
			call()
		})
	}
	stopAt := 500 * time.Millisecond
	for _, r := range routes {
		at(0, func() { s.dial(h, "sent before the stop").sendWhole(r) })
		at(stopAt+listTime-300*time.Millisecond, func() { s.dial(h, "sent to a host of an old list").sendWhole(r) })
		kept := s.dial(h, "sent on a kept connection")
		kept.askUnknown()
		at(stopAt+time.Second, func() { kept.sendWhole(r) })
		at(stopAt+listTime-200*time.Millisecond, func() {
			c := s.dial(h, "connection opened before, sent after the last list")
			c.cut = true
			time.Sleep(600 * time.Millisecond)
			c.sendWhole(r)
		})
		at(stopAt+listTime-200*time.Millisecond, func() { s.dial(h, "body that arrives late").sendInParts(r, 1500*time.Millisecond) })
		at(stopAt+listTime-200*time.Millisecond, func() { s.dial(h, "body that never arrives").sendInParts(r, 0) })
	}
	time.Sleep(stopAt)
	s.recordFault("stop %s", h.name)
	f := newFaultInjector(s, s.options.Program)
	f.restart(h)
	s.recordFault("%s has stopped", h.name)
	calls.Wait()
}

// stoppingCall is a request on a connection of its own.
type stoppingCall struct {
	soak *soak
	host *host
	what string
	conn net.Conn
	a    standin.Attempt
	// cut is set if the host may close the connection before it has read the request.
	cut bool
}

func (s *soak) dial(h *host, what string) *stoppingCall {
	c := &stoppingCall{soak: s, host: h, what: what}
	var err error
	if c.conn, err = net.DialTimeout("tcp4", h.callersAddr, time.Second); err != nil {
		s.env.checker.report("a host takes connections while callers have it in their lists", "%s: %v", what, err)
	}
	return c
}

// send sends a request with the part of its body that is given, and records it.
func (c *stoppingCall) send(r standin.Route, body string) {
	key := ""
	c.soak.env.mu.Lock()
	for k := range c.soak.env.keys[plainWorkspace] {
		key = k
	}
	c.soak.env.mu.Unlock()
	c.a = standin.Attempt{ID: c.soak.load.nextID("s"), Key: key, Address: c.host.callersAddr, Route: r, Sent: time.Now()}
	c.a.Path = r.Prefix + c.a.ID
	c.soak.env.checker.attemptStarted(c.a)
	if c.conn == nil {
		return
	}
	_, _ = io.WriteString(c.conn, standin.Head(c.a, len(wholeBody), stopTimeout)+body)
}

func (c *stoppingCall) sendWhole(r standin.Route) {
	c.send(r, wholeBody)
	c.check()
}

// sendInParts sends a body in two parts, with a pause between them, or the first one only
// if the pause is zero.
func (c *stoppingCall) sendInParts(r standin.Route, pause time.Duration) {
	c.send(r, wholeBody[:2])
	if pause > 0 && c.conn != nil {
		time.Sleep(pause)
		_, _ = io.WriteString(c.conn, wholeBody[2:])
	}
	c.check()
}

// check reads the answer and checks that there is one.
func (c *stoppingCall) check() {
	if c.conn == nil {
		return
	}
	defer func() { _ = c.conn.Close() }()
	_ = c.conn.SetReadDeadline(time.Now().Add(stopTimeout))
	c.a.Status, c.a.HasRetryAfter, c.a.Err = readAnswer(c.conn)
	c.a.Ended = time.Now()
	c.soak.env.checker.attemptEnded(c.a, false, false)
	c.soak.recordFault("%s %s: %d after %.1f s %v", c.what, c.a.Route.Prefix, c.a.Status, c.a.Ended.Sub(c.a.Sent).Seconds(), c.a.Err)
	if c.a.Err != nil && (!c.cut || c.soak.env.checker.hasRun(c.a.ID)) {
		c.soak.env.checker.report("a request that a stopping host has read is answered", "%s, %s%s: %v", c.what, c.host.name, c.a.Route.Prefix, c.a.Err)
	}
}

// askUnknown sends a request that no route matches and reads its answer, after which the
// connection is kept.
func (c *stoppingCall) askUnknown() {
	if c.conn == nil {
		return
	}
	_, _ = io.WriteString(c.conn, "GET /none HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n")
	if status, _, err := readAnswer(c.conn); err != nil || status != http.StatusNotFound {
		c.soak.env.checker.report("unknown routes are answered with 404", "status %d, %v", status, err)
	}
}

// readAnswer reads one whole answer, and returns its status and whether it has a
// Retry-After header.
func readAnswer(r io.Reader) (status int, retryAfter bool, err error) {
	response, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After") != "", err
}
