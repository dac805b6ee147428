package experimenter

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// caller sends requests as a well-behaved client does: it takes the list of hosts
// from GET /v1/hosts, honours Retry-After, and uses another host when one fails.
type caller struct {
	key string
	// seeds are the addresses from which the list of hosts is fetched.
	seeds   []string
	timeout time.Duration
	client  *fasthttp.Client

	// mu guards the fields below.
	mu          sync.Mutex
	random      *rand.Rand
	hosts       []hostEntry
	hostsExpire time.Time
}

// hostEntry is one host in the response to GET /v1/hosts.
type hostEntry struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
}

// callResult is the result of one request, including its retries.
type callResult struct {
	// firstToken and total are the times from the first attempt to the first token
	// and to the end of the answer. They are set only if answered is true.
	firstToken, total time.Duration
	tokens            int
	// answered reports whether a complete and correct answer was received.
	answered bool
	// refusals contains the error codes of refusals, and attempts is the number of
	// attempts made.
	refusals []string
	attempts int
	// reason is why the last attempt failed, or "timeout" if there was none. It is
	// empty if answered is true.
	reason string
}

const (
	maxAttempts    = 8
	minRetryDelay  = 20 * time.Millisecond
	hostsTimeout   = 2 * time.Second
	maxConnections = 8192
)

func newCaller(key string, seeds []string, timeout time.Duration, seed uint64) *caller {
	return &caller{
		key: key, seeds: seeds, timeout: timeout,
		random: rand.New(rand.NewPCG(seed, 1)),
		client: &fasthttp.Client{
			MaxConnsPerHost:    maxConnections,
			StreamResponseBody: true,
			RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// call sends a repeatable request, with the idempotency key id, and retries it until
// the answer is complete and equals want, maxAttempts attempts have failed, the
// caller's timeout has passed, or ctx is done.
func (c *caller) call(ctx context.Context, path string, body []byte, id, want string) callResult {
	start := time.Now()
	deadline := start.Add(c.timeout)
	out := callResult{reason: "timeout"}
	for out.attempts < maxAttempts && time.Now().Before(deadline) && ctx.Err() == nil {
		out.attempts++
		a := c.attempt(c.pickHost(), path, body, id, want, deadline)
		switch {
		case a.err == nil:
			out.answered, out.tokens, out.reason = true, a.tokens, ""
			out.firstToken, out.total = a.firstTokenAt.Sub(start), time.Since(start)
			return out
		case a.refused:
			out.refusals = append(out.refusals, a.code)
		}
		out.reason = a.reason()
		c.removeHost(a.unreachable)
		if !sleepWithin(ctx, max(a.retryAfter, minRetryDelay), deadline) {
			break
		}
	}
	return out
}

// sleepWithin waits for d and reports whether the full time elapsed. It returns
// false at once if the wait would end after deadline.
func sleepWithin(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Now().Add(d).After(deadline) {
		return false
	}
	return timer.SleepDuration(ctx, d)
}

// pickHost returns the address of a host chosen at random, in proportion to the
// hosts' weights. It refreshes the list of hosts if the list has expired. If the list
// is empty, it chooses one of the seeds.
func (c *caller) pickHost() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.hostsExpire) {
		c.refreshHosts()
	}
	if len(c.hosts) == 0 {
		return c.seeds[c.random.IntN(len(c.seeds))]
	}
	total := 0
	for _, h := range c.hosts {
		total += max(h.Weight, 1)
	}
	n := c.random.IntN(total)
	for _, h := range c.hosts {
		n -= max(h.Weight, 1)
		if n < 0 {
			return h.Address
		}
	}
	return c.hosts[0].Address
}

// removeHost removes a host that could not be reached from the list. An empty
// address has no effect.
func (c *caller) removeHost(address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var remaining []hostEntry
	for _, h := range c.hosts {
		if h.Address != address {
			remaining = append(remaining, h)
		}
	}
	c.hosts = remaining
}

// refreshHosts fetches the list of hosts from the first seed that returns it,
// starting with a random one. The caller must hold c.mu.
func (c *caller) refreshHosts() {
	first := c.random.IntN(len(c.seeds))
	for i := range c.seeds {
		if c.refreshHostsFrom(c.seeds[(first+i)%len(c.seeds)]) {
			return
		}
	}
}

// refreshHostsFrom fetches the list of hosts from address and reports whether it
// succeeded. The caller must hold c.mu.
func (c *caller) refreshHostsFrom(address string) bool {
	status, body, err := c.client.GetTimeout(nil, "http://"+address+"/v1/hosts", hostsTimeout)
	var a struct {
		Hosts  []hostEntry `json:"hosts"`
		MaxAge int64       `json:"keep-ms"`
	}
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &a) != nil {
		return false
	}
	c.hosts, c.hostsExpire = a.Hosts, time.Now().Add(time.Duration(a.MaxAge)*time.Millisecond)
	return true
}

// reason returns the error code of a failed attempt, or a short identifier of the
// failure if the response had no code.
func (a attemptResult) reason() string {
	var n net.Error
	var e *answerError
	switch {
	case a.code != "":
		return a.code
	case errors.As(a.err, &e):
		return e.reason
	case errors.Is(a.err, fasthttp.ErrTimeout), errors.As(a.err, &n) && n.Timeout():
		return "timeout"
	}
	return "connection-failed"
}

// answerError reports that an answer was incomplete or incorrect.
type answerError struct{ reason string }

func (e *answerError) Error() string { return e.reason }

// attemptResult is the result of one attempt at a request.
type attemptResult struct {
	err          error
	firstTokenAt time.Time
	tokens       int
	// refused reports whether the response had status 429 or 503.
	refused bool
	// code is the error code in the response, and retryAfter the delay before the
	// next attempt that the response requests.
	code       string
	retryAfter time.Duration
	// unreachable is the address of the host if it did not respond.
	unreachable string
}

// attempt sends the request once to the host at address and compares the answer with
// want.
func (c *caller) attempt(address, path string, body []byte, id, want string, deadline time.Time) attemptResult {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + address + path)
	q.Header.SetContentType("application/json")
	if c.key != "" {
		q.Header.Set("Authorization", "Bearer "+c.key)
	}
	if id != "" {
		q.Header.Set("Idempotency-Key", id)
	}
	q.SetBodyRaw(body)
	if err := c.client.DoDeadline(q, p, deadline); err != nil {
		return attemptResult{err: eris.Wrap(err, "ask host"), unreachable: address}
	}
	defer func() { _ = p.CloseBodyStream() }()
	if p.StatusCode() != fasthttp.StatusOK {
		return readRefusal(p)
	}
	a := attemptResult{}
	if strings.HasPrefix(string(p.Header.ContentType()), "text/event-stream") {
		a.firstTokenAt, a.tokens, a.err = readStream(p.BodyStream(), want)
		return a
	}
	got, err := io.ReadAll(p.BodyStream())
	a.firstTokenAt = time.Now()
	if err == nil && string(got) != want {
		err = &answerError{reason: "wrong-answer"}
	}
	a.err = err
	return a
}

// readRefusal returns the result of an attempt whose response has a status other
// than 200.
func readRefusal(p *fasthttp.Response) attemptResult {
	body, _ := io.ReadAll(p.BodyStream())
	a := attemptResult{err: eris.Errorf("status %d: %.200s", p.StatusCode(), body)}
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil {
		a.code = e.Error.Code
	}
	a.refused = p.StatusCode() == fasthttp.StatusTooManyRequests || p.StatusCode() == fasthttp.StatusServiceUnavailable
	if ms, err := strconv.Atoi(string(p.Header.Peek("Retry-After-Ms"))); err == nil {
		a.retryAfter = time.Duration(ms) * time.Millisecond
	} else if s, err := strconv.Atoi(string(p.Header.Peek("Retry-After"))); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	return a
}

// streamEvent contains the fields that are read from one event of a streamed chat
// completion.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a streamed answer and compares it with want. It returns the time
// of the first token and the number of tokens.
func readStream(r io.Reader, want string) (first time.Time, tokens int, err error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	done := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			done = true
			continue
		}
		content := eventContent(data)
		if content == "" {
			continue
		}
		if tokens == 0 {
			first = time.Now()
		}
		tokens++
		text.WriteString(content)
	}
	switch {
	case lines.Err() != nil:
		return first, tokens, eris.Wrap(lines.Err(), "read stream")
	case !done:
		return first, tokens, &answerError{reason: "stream-ended-early"}
	case text.String() != want:
		return first, tokens, &answerError{reason: "wrong-answer"}
	}
	return first, tokens, nil
}

// eventContent returns the text in an event, or "" if it has none.
func eventContent(data string) string {
	var e streamEvent
	if json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Delta.Content
}
