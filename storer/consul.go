package storer

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Defaults of ConsulOptions.
const (
	DefaultCallTimeout = 2 * timer.Second
	DefaultHostService = "jackdawgate"
	maxConnections     = 256
	idleTimeout        = 30 * time.Second
)

// ConsulOptions configure a Consul. Zero fields take their defaults.
type ConsulOptions struct {
	// CallTimeout bounds each call. A watch may take its wait in addition.
	CallTimeout timer.Millis
	// Prefix is prepended to each key.
	Prefix string
	// HostService is the Consul service whose instances are the hosts.
	HostService string
}

func (o ConsulOptions) withDefaults() ConsulOptions {
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.HostService == "" {
		o.HostService = DefaultHostService
	}
	return o
}

// Consul is a Store that uses Consul's public HTTP API.
//
// It reads in consistent mode, writes and deletes with cas, watches with blocking
// queries, and lists with keys. The host list comes from the health endpoint of
// HostService; a host is leaving while its node or service is in maintenance mode. A
// watch of a key that does not exist may take one more request to obtain the index to
// wait for.
type Consul struct {
	options ConsulOptions
	base    string
	client  *fasthttp.Client
	clock   timer.Clock
	// calls counts the requests in flight, including those whose callers no longer
	// wait for them.
	calls sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*trackedConn]struct{}
	// missingIndex holds the index at which a key was last seen not to exist.
	missingIndex map[string]Version
}

// StatusError reports an unexpected status of a response.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Body
}

var errClientClosed = errors.New("store client closed")

// NewConsul returns a Store that calls the Consul agent at address, an IP address and
// port. The caller must Close it.
func NewConsul(address string, o ConsulOptions) *Consul {
	c := &Consul{
		options:      o.withDefaults(),
		base:         "http://" + address,
		clock:        timer.System(),
		conns:        make(map[*trackedConn]struct{}),
		missingIndex: make(map[string]Version),
	}
	c.client = &fasthttp.Client{
		Name:                "jackdawgate",
		DialTimeout:         c.dial,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: 4 * MaxValueBytes,
		// Only reads are retried: a failed write may have taken effect.
		RetryIfErr: func(r *fasthttp.Request, attempts int, err error) (bool, bool) {
			return false, attempts < 2 && r.Header.IsGet() && errors.Is(err, fasthttp.ErrConnectionClosed)
		},
	}
	return c
}

// Close aborts all calls and waits for them to end.
func (c *Consul) Close() {
	c.mu.Lock()
	c.closed = true
	for n := range c.conns {
		_ = n.Conn.Close()
	}
	c.mu.Unlock()
	c.client.CloseIdleConnections()
	c.calls.Wait()
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Value, error) {
	a, err := c.do(ctx, fasthttp.MethodGet, c.keyPath(key)+"?consistent", nil, 0)
	if err != nil {
		return Value{}, &UnavailableError{Call: "get", Key: key, Err: err}
	}
	v, err := c.readValue(key, a)
	if err != nil {
		return Value{}, &UnavailableError{Call: "get", Key: key, Err: err}
	}
	return v, nil
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, data []byte, old Version) (bool, error) {
	if len(data) > MaxValueBytes {
		return false, &TooLargeError{Key: key, Size: len(data)}
	}
	ok, err := c.write(ctx, fasthttp.MethodPut, key, data, old)
	if err != nil {
		return false, &UnavailableError{Call: "compare-and-swap", Key: key, Err: err}
	}
	return ok, nil
}

// Delete implements Store.
func (c *Consul) Delete(ctx context.Context, key string, old Version) (bool, error) {
	ok, err := c.write(ctx, fasthttp.MethodDelete, key, nil, old)
	if err != nil {
		return false, &UnavailableError{Call: "delete", Key: key, Err: err}
	}
	return ok, nil
}

// write makes a PUT or DELETE of key with cas, and reports whether it took effect.
func (c *Consul) write(ctx context.Context, method, key string, data []byte, old Version) (bool, error) {
	path := c.keyPath(key) + "?cas=" + strconv.FormatUint(uint64(old), 10)
	a, err := c.do(ctx, method, path, data, 0)
	if err != nil {
		return false, err
	}
	if a.status != fasthttp.StatusOK {
		return false, a.err()
	}
	return strings.TrimSpace(string(a.body)) == "true", nil
}

// Watch implements Store.
func (c *Consul) Watch(ctx context.Context, key string, old Version, wait timer.Millis) (Value, error) {
	end := c.clock.Now() + wait
	for {
		left := max(end-c.clock.Now(), 1)
		path := c.keyPath(key) + "?consistent&index=" + strconv.FormatUint(uint64(c.watchIndex(key, old)), 10) +
			"&wait=" + strconv.FormatInt(int64(left), 10) + "ms"
		a, err := c.do(ctx, fasthttp.MethodGet, path, nil, left)
		if err != nil {
			return Value{}, &UnavailableError{Call: "watch", Key: key, Err: err}
		}
		v, err := c.readValue(key, a)
		if err != nil {
			return Value{}, &UnavailableError{Call: "watch", Key: key, Err: err}
		}
		if v.Version != old || c.clock.Now() >= end {
			return v, nil
		}
	}
}

// watchIndex returns the index after which a blocking query on key waits for a change.
func (c *Consul) watchIndex(key string, old Version) Version {
	if old > 0 {
		return old
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.missingIndex[key], 1)
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string) ([]string, error) {
	a, err := c.do(ctx, fasthttp.MethodGet, c.keyPath(prefix)+"?keys&consistent", nil, 0)
	if err != nil {
		return nil, &UnavailableError{Call: "list", Key: prefix, Err: err}
	}
	if a.status == fasthttp.StatusNotFound {
		return nil, nil
	}
	var keys []string
	if err := a.decode(&keys); err != nil {
		return nil, &UnavailableError{Call: "list", Key: prefix, Err: err}
	}
	for i, k := range keys {
		keys[i] = strings.TrimPrefix(k, c.options.Prefix)
	}
	return keys, nil
}

// keyPath returns the escaped URL path of key.
func (c *Consul) keyPath(key string) string {
	parts := strings.Split(c.options.Prefix+key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}

// response is a response of the service. index is its X-Consul-Index.
type response struct {
	status int
	index  Version
	body   []byte
}

func (a response) err() error { return &StatusError{Status: a.status, Body: string(a.body)} }

func (a response) decode(v any) error {
	if a.status != fasthttp.StatusOK {
		return a.err()
	}
	return eris.Wrap(json.Unmarshal(a.body, v), "decode store answer")
}

// readValue decodes the response to a query of one key.
func (c *Consul) readValue(key string, a response) (Value, error) {
	if a.status == fasthttp.StatusNotFound {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.missingIndex[key] = a.index
		return Value{}, nil
	}
	var entries []struct {
		Value       string
		ModifyIndex Version
	}
	if err := a.decode(&entries); err != nil {
		return Value{}, err
	}
	if len(entries) != 1 {
		return Value{}, eris.Errorf("%d entries for one key", len(entries))
	}
	data, err := base64.StdEncoding.DecodeString(entries[0].Value)
	if err != nil {
		return Value{}, eris.Wrap(err, "decode store value")
	}
	return Value{Data: data, Version: entries[0].ModifyIndex}, nil
}

// do makes one request. If ctx ends first, do returns at once, and the goroutine of the
// request ends at the call's timeout or at Close.
func (c *Consul) do(ctx context.Context, method, path string, body []byte, wait timer.Millis) (response, error) {
	if err := c.begin(ctx); err != nil {
		return response{}, err
	}
	// Consul adds up to wait/16 of jitter to the wait of a blocking query.
	deadline := time.Now().Add((c.options.CallTimeout + wait + wait/16).Duration())
	callerDeadline := false
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline, callerDeadline = d, true
	}
	type result struct {
		answer response
		err    error
	}
	done := make(chan result, 1)
	go func() {
		defer c.calls.Done()
		a, err := c.roundTrip(method, path, body, deadline)
		done <- result{a, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil && ctx.Err() != nil:
			return response{}, ctx.Err()
		case callerDeadline && errors.Is(r.err, fasthttp.ErrTimeout):
			// The request's timer may fire just before that of ctx.
			return response{}, context.DeadlineExceeded
		}
		return r.answer, r.err
	case <-ctx.Done():
		return response{}, ctx.Err()
	}
}

// begin registers a call that Close waits for. It fails if c is closed or ctx has
// ended.
func (c *Consul) begin(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClientClosed
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	c.calls.Add(1)
	return nil
}

// roundTrip sends one request and waits for its response.
func (c *Consul) roundTrip(method, path string, body []byte, deadline time.Time) (response, error) {
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(method)
	q.URI().DisablePathNormalizing = true
	q.SetRequestURI(c.base + path)
	q.SetBodyRaw(body)
	if err := c.client.DoDeadline(q, p, deadline); err != nil {
		return response{}, eris.Wrap(err, "ask store")
	}
	index, _ := strconv.ParseUint(string(p.Header.Peek("X-Consul-Index")), 10, 64)
	return response{
		status: p.StatusCode(),
		index:  Version(index),
		body:   append([]byte(nil), p.Body()...),
	}, nil
}

// trackedConn removes itself from its Consul's connections when it is closed.
type trackedConn struct {
	net.Conn
	consul *Consul
}

func (t *trackedConn) Close() error {
	t.consul.mu.Lock()
	delete(t.consul.conns, t)
	t.consul.mu.Unlock()
	return t.Conn.Close()
}

// dial opens a connection that Close can close.
func (c *Consul) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = c.options.CallTimeout.Duration()
	}
	n, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: n, consul: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = n.Close()
		return nil, errClientClosed
	}
	c.conns[t] = struct{}{}
	return t, nil
}

var _ Store = (*Consul)(nil)
