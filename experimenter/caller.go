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

// caller asks hosts as a well-behaved caller does: it follows GET /v1/hosts,
// honours Retry-After, and goes to another host when one fails.
type caller struct {
	key     string
	seeds   []string
	timeout time.Duration
	client  *fasthttp.Client

	mu     sync.Mutex
	random *rand.Rand
	hosts  []hostEntry
	until  time.Time
}

// hostEntry is one host in the answer to GET /v1/hosts.
type hostEntry struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
}

// asked is what became of one request.
type asked struct {
	// first and whole are the times to the first token and to the end.
	first, whole time.Duration
	tokens       int
	// answered says that the whole and right answer came.
	answered bool
	// refusals has the codes of refusals, and attempts counts requests sent.
	refusals []string
	attempts int
	// reason says why there was no answer.
	reason string
}

const (
	maxAttempts   = 8
	retryPause    = 20 * time.Millisecond
	hostsTimeout  = 2 * time.Second
	connectionMax = 8192
)

func newCaller(key string, seeds []string, timeout time.Duration, seed uint64) *caller {
	return &caller{
		key: key, seeds: seeds, timeout: timeout,
		random: rand.New(rand.NewPCG(seed, 1)),
		client: &fasthttp.Client{
			MaxConnsPerHost:    connectionMax,
			StreamResponseBody: true,
			RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// ask sends one request that may be repeated, until its answer is whole.
func (c *caller) ask(ctx context.Context, path string, body []byte, id, want string) asked {
	start := time.Now()
	deadline := start.Add(c.timeout)
	out := asked{reason: "timeout"}
	for out.attempts < maxAttempts && time.Now().Before(deadline) && ctx.Err() == nil {
		out.attempts++
		a := c.attempt(c.pick(), path, body, id, want, deadline)
		switch {
		case a.err == nil:
			out.answered, out.tokens, out.reason = true, a.tokens, ""
			out.first, out.whole = a.first.Sub(start), time.Since(start)
			return out
		case a.refused:
			out.refusals = append(out.refusals, a.code)
		}
		out.reason = a.reason()
		c.forget(a.unreachable)
		if !rest(ctx, max(a.retryAfter, retryPause), deadline) {
			break
		}
	}
	return out
}

// rest waits and says whether there is time left.
func rest(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Now().Add(d).After(deadline) {
		return false
	}
	return timer.SleepDuration(ctx, d)
}

// pick chooses a host by weight from the newest list.
func (c *caller) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.refresh()
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

// forget takes a host that could not be reached out of the list.
func (c *caller) forget(address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []hostEntry
	for _, h := range c.hosts {
		if h.Address != address {
			left = append(left, h)
		}
	}
	c.hosts = left
}

// refresh asks the seeds for the hosts, beginning at a random one. c.mu is held.
func (c *caller) refresh() {
	first := c.random.IntN(len(c.seeds))
	for i := range c.seeds {
		if c.refreshFrom(c.seeds[(first+i)%len(c.seeds)]) {
			return
		}
	}
}

func (c *caller) refreshFrom(address string) bool {
	status, body, err := c.client.GetTimeout(nil, "http://"+address+"/v1/hosts", hostsTimeout)
	var a struct {
		Hosts []hostEntry `json:"hosts"`
		Keep  int64       `json:"keep-ms"`
	}
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &a) != nil {
		return false
	}
	c.hosts, c.until = a.Hosts, time.Now().Add(time.Duration(a.Keep)*time.Millisecond)
	return true
}

// reason names the failure of an attempt in a word or two.
func (a attempt) reason() string {
	var n net.Error
	var e *streamError
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

// streamError says what was wrong with an answer.
type streamError struct{ reason string }

func (e *streamError) Error() string { return e.reason }

// attempt is one request's end.
type attempt struct {
	err         error
	first       time.Time
	tokens      int
	refused     bool
	code        string
	retryAfter  time.Duration
	unreachable string
}

func (c *caller) attempt(address, path string, body []byte, id, want string, deadline time.Time) attempt {
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
		return attempt{err: eris.Wrap(err, "ask host"), unreachable: address}
	}
	defer func() { _ = p.CloseBodyStream() }()
	if p.StatusCode() != fasthttp.StatusOK {
		return refusal(p)
	}
	a := attempt{}
	if strings.HasPrefix(string(p.Header.ContentType()), "text/event-stream") {
		a.first, a.tokens, a.err = readStream(p.BodyStream(), want)
		return a
	}
	got, err := io.ReadAll(p.BodyStream())
	a.first = time.Now()
	if err == nil && string(got) != want {
		err = &streamError{reason: "wrong-answer"}
	}
	a.err = err
	return a
}

func refusal(p *fasthttp.Response) attempt {
	body, _ := io.ReadAll(p.BodyStream())
	a := attempt{err: eris.Errorf("status %d: %.200s", p.StatusCode(), body)}
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

// streamEvent is what is read of one event of a chat completion.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a streamed answer and checks it against want.
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
		return first, tokens, &streamError{reason: "stream-ended-early"}
	case text.String() != want:
		return first, tokens, &streamError{reason: "wrong-answer"}
	}
	return first, tokens, nil
}

func eventContent(data string) string {
	var e streamEvent
	if json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Delta.Content
}
