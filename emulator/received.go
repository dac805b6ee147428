package emulator

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// ReceivedHeader is a header line of a received request.
type ReceivedHeader struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// maxLoggedBody is the length in bytes of the longest body that is retained.
const maxLoggedBody = 4 << 10

// Received is a received request.
type Received struct {
	Method  string           `json:"method"`
	Path    string           `json:"path"`
	Query   string           `json:"query"`
	Headers []ReceivedHeader `json:"headers"`
	// Body is empty if the body is longer than 4 KB, so that the log does not hold what callers
	// upload. BodyBytes is the body's length, BodyDigest its xxhash in hexadecimal.
	Body       string `json:"body"`
	BodyBytes  int    `json:"body-bytes"`
	BodyDigest string `json:"body-digest"`
}

// Execution counts the executions of one call. A call is identified by its
// Idempotency-Key, or else by its X-Request-Id, which does not change when a call
// is resumed, or else by the xxhash of its path and body in hexadecimal.
type Execution struct {
	Call     string `json:"call"`
	Started  int    `json:"started"`
	Finished int    `json:"finished"`
}

// requestLog retains the latest requests and counts executions.
type requestLog struct {
	limit int

	mu       sync.Mutex
	received []Received
	// callOrder has the keys of executions in order of arrival.
	callOrder  []string
	executions map[string]*Execution
}

func newRequestLog(limit int) *requestLog {
	return &requestLog{limit: limit, executions: make(map[string]*Execution)}
}

func (l *requestLog) recordRequest(q *fasthttp.RequestCtx) {
	body := q.PostBody()
	r := Received{
		Method:     string(q.Method()),
		Path:       string(q.Path()),
		Query:      string(q.URI().QueryString()),
		BodyBytes:  len(body),
		BodyDigest: strconv.FormatUint(xxhash.Sum64(body), 16),
	}
	if len(body) <= maxLoggedBody {
		r.Body = string(body)
	}
	for k, v := range q.Request.Header.All() {
		r.Headers = append(r.Headers, ReceivedHeader{Name: string(k), Value: string(v)})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = append(l.received, r)
	if len(l.received) > 2*l.limit {
		l.received = append([]Received(nil), l.received[l.limit:]...)
	}
}

// callID returns the identifier of the call of q in the counts of executions.
func callID(q *fasthttp.RequestCtx) string {
	for _, name := range []string{HeaderIdempotencyKey, HeaderRequestID} {
		if v := q.Request.Header.Peek(name); len(v) > 0 {
			return string(v)
		}
	}
	return CallID(string(q.Path()), q.PostBody())
}

// CallID returns the identifier of a call without identifying headers.
func CallID(path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(path + "\x00")
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// recordStart counts the start of a call and returns the number of its starts.
func (l *requestLog) recordStart(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.executions[call]
	if !ok {
		x = &Execution{Call: call}
		l.executions[call] = x
		l.callOrder = append(l.callOrder, call)
	}
	x.Started++
	return x.Started
}

// recordFinish counts the completion of a call that was started.
func (l *requestLog) recordFinish(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[call].Finished++
}

func (l *requestLog) latestRequests() []Received {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.received[max(0, len(l.received)-l.limit):]
	return append(make([]Received, 0, len(r)), r...)
}

func (l *requestLog) executionCounts() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Execution, 0, len(l.callOrder))
	for _, c := range l.callOrder {
		out = append(out, *l.executions[c])
	}
	return out
}

// Received returns the latest requests, oldest first, without those for
// controlPaths.
func (e *Engine) Received() []Received { return e.requests.latestRequests() }

// Executions returns the counts of each call, in order of arrival.
func (e *Engine) Executions() []Execution { return e.requests.executionCounts() }
