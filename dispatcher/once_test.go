package dispatcher_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

// cutFunc serves a connection up to one class of byte boundary, at which it is then
// cut. It reports whether the service ran the call.
type cutFunc func(c net.Conn) (ran bool)

const plainAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"

// peekedConn distinguishes the probes that follow a cut from the call by their first byte.
type peekedConn struct {
	net.Conn
	first []byte
}

func (p *peekedConn) isProbe() bool {
	p.first = make([]byte, 1)
	n, _ := p.Conn.Read(p.first)
	p.first = p.first[:n]
	return bytes.Equal(p.first, []byte("G"))
}

func (p *peekedConn) Read(b []byte) (int, error) {
	if len(p.first) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// readHead reads until the end of the request headers.
func readHead(c net.Conn) {
	var got []byte
	b := make([]byte, 1)
	for !bytes.Contains(got, []byte("\r\n\r\n")) {
		n, err := c.Read(b)
		got = append(got, b[:n]...)
		if err != nil {
			return
		}
	}
}

// cuts holds the classes of byte boundaries of one exchange.
var cuts = map[string]cutFunc{
	"after one byte":          func(c net.Conn) bool { _, _ = c.Read(make([]byte, 1)); return false },
	"after the headers":       func(c net.Conn) bool { readHead(c); return false },
	"in the body":             func(c net.Conn) bool { readHead(c); _, _ = c.Read(make([]byte, 3)); return false },
	"after the request":       func(c net.Conn) bool { return readRequest(c) != nil },
	"in the status line":      sendAnswer("HTTP/1.1 2"),
	"in the answer's headers": sendAnswer("HTTP/1.1 200 OK\r\nContent-Le"),
	"before the body":         sendAnswer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"),
	"in the answer's body":    sendAnswer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n012"),
	"in a chunk":              sendAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n012"),
	"after a chunk":           sendAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n012\r\n"),
	"before the last CRLF":    sendAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n012\r\n0\r\n"),
	"without a length":        sendAnswer("HTTP/1.1 200 OK\r\n\r\n012"),
}

func sendAnswer(answer string) cutFunc {
	return func(c net.Conn) bool {
		if readRequest(c) == nil {
			return false
		}
		_, _ = io.WriteString(c, answer)
		return true
	}
}

// nonRepeatableRequest returns a call that must run at most once.
func nonRepeatableRequest() requester.Request {
	r := chatRequest("r1", false)
	r.Path, r.Body, r.Repeatable = "/dockets/7", []byte("0123456789"), false
	return r
}

func TestCutCallRunsAtMostOnceAndReportsOutcome(t *testing.T) {
	for name, cut := range cuts {
		for _, through := range []string{"the keeper host", "another host"} {
			t.Run(name+" through "+through, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var calls, ran atomic.Int64
					f := newFleet(t, 2, "m1", "m2")
					serve := func(_ int, c net.Conn) {
						defer func() { _ = c.Close() }()
						p := &peekedConn{Conn: c}
						if p.isProbe() {
							return
						}
						calls.Add(1)
						if cut(p) {
							ran.Add(1)
						}
					}
					f.engine("m1", serve)
					f.engine("m2", serve)
					entry, other := f.owner("m1")
					if through == "another host" {
						entry = other
					}
					var a recordedAnswer
					o := entry.Do(context.Background(), nonRepeatableRequest(), &a)
					synctest.Wait()
					switch o := o.(type) {
					case requester.NotRun:
						require.Zero(t, ran.Load(), "%#v", o)
					case requester.MaybeRun:
						require.LessOrEqual(t, ran.Load(), int64(1), "ran more than once")
						require.Equal(t, int64(1), calls.Load(), "sent more than once")
					default:
						require.Fail(t, "a broken answer passed", "%#v", o)
					}
					require.Zero(t, a.heads, "nothing of a broken answer is passed on")
				})
			})
		}
	}
}

func TestCallThatWasNotSentIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "m1", "m2")
		f.engine("m2", func(_ int, c net.Conn) {
			defer func() { _ = c.Close() }()
			if readRequest(c) != nil {
				_, _ = io.WriteString(c, plainAnswer)
			}
		})
		for range 4 {
			var a recordedAnswer
			o := f.hosts["h0"].Do(context.Background(), nonRepeatableRequest(), &a)
			require.IsType(t, requester.Answered{}, o, "m1 accepts no connection, m2 does")
			require.Equal(t, "0123456789", string(a.body))
		}
	})
}

func TestRefusalIsNotRun(t *testing.T) {
	for name, refusal := range map[string]string{
		"429":                          "HTTP/1.1 429 Too Many Requests\r\nretry-after-ms: 700\r\nContent-Length: 0\r\n\r\n",
		"503 with Jackdawgate-Not-Run": "HTTP/1.1 503 Service Unavailable\r\nJackdawgate-Not-Run: true\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, "m1")
				f.engine("m1", func(_ int, c net.Conn) { sendAnswer(refusal)(c); _ = c.Close() })
				o := f.hosts["h0"].Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{})
				n, ok := o.(requester.NotRun)
				require.True(t, ok, "%#v", o)
				require.Equal(t, "backend-server-refused", n.Code)
				require.GreaterOrEqual(t, n.RetryAfter, requester.NotRun{RetryAfter: 700}.RetryAfter)
			})
		})
	}
}

func TestPlain503IsReturnedAsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		f := newFleet(t, 1, "m1")
		f.engine("m1", func(_ int, c net.Conn) {
			ran.Add(1)
			sendAnswer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")(c)
			_ = c.Close()
		})
		var a recordedAnswer
		o := f.hosts["h0"].Do(context.Background(), nonRepeatableRequest(), &a)
		require.Equal(t, requester.Answered{Status: 503, Server: "m1"}, o, "the service's own answer passes")
		require.EqualValues(t, 1, ran.Load())
	})
}

// losingCaller is a Caller that loses the connection once the handler has run.
type losingCaller struct{ messenger.Caller }

func (l losingCaller) Call(ctx context.Context, address string, m messenger.Method, body []byte, _ func([]byte) error) error {
	if err := l.Caller.Call(ctx, address, m, body, nil); err != nil {
		return err
	}
	return &messenger.LostError{Address: address, Err: io.ErrUnexpectedEOF}
}

func TestRefusalAfterUnansweredAttemptMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		f := newFleet(t, 1, "m1", "m2")
		serve := func(_ int, c net.Conn) {
			defer func() { _ = c.Close() }()
			if q := readRequest(c); q != nil && q.Header.IsPost() && sent.Add(1) > 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
			}
		}
		f.engine("m1", serve)
		f.engine("m2", serve)
		o := f.hosts["h0"].Do(context.Background(), chatRequest("r1", false), &recordedAnswer{})
		require.IsType(t, requester.MaybeRun{}, o)
		require.Greater(t, sent.Load(), int64(1))
	})
}

func TestCallThroughLostHostMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		f := newFleet(t, 2, "m1")
		f.engine("m1", func(_ int, c net.Conn) {
			defer func() { _ = c.Close() }()
			if readRequest(c) != nil {
				ran.Add(1)
				_, _ = io.WriteString(c, plainAnswer)
			}
		})
		f.caller = func(c messenger.Caller) messenger.Caller { return losingCaller{c} }
		entry := f.addHost(f.nonMember())
		o := entry.Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{})
		m, ok := o.(requester.MaybeRun)
		require.True(t, ok, "%#v", o)
		require.Equal(t, "host-lost", m.Code)
		require.EqualValues(t, 1, ran.Load())
	})
}

func TestUnreachableHostIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, "m1")
		f.engine("m1", func(_ int, c net.Conn) { serveAnswer(c, "{}") })
		owner, other := f.owner("m1")
		f.network.Cut(other.name, owner.name, true)
		r := nonRepeatableRequest()
		r.Class = requester.Batch
		o := other.Do(context.Background(), r, &recordedAnswer{})
		n, ok := o.(requester.NotRun)
		require.True(t, ok, "%#v", o)
		require.Equal(t, "host-unreachable", n.Code)
	})
}

func TestCallOnStaleConnectionIsNotSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bodies atomic.Int64
		f := newFleet(t, 1, "m1")
		f.engine("m1", func(_ int, c net.Conn) {
			defer func() { _ = c.Close() }()
			// One answer per connection, which is closed when the next request
			// begins.
			q := readRequest(c)
			if q == nil {
				return
			}
			if strings.Contains(string(q.Body()), "0123456789") {
				bodies.Add(1)
			}
			_, _ = io.WriteString(c, plainAnswer)
			_, _ = c.Read(make([]byte, 1))
		})
		h := f.hosts["h0"]
		for range 3 {
			require.IsType(t, requester.Answered{}, h.Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{}))
			require.IsType(t, requester.Answered{}, h.Do(context.Background(), chatRequest("r2", false), &recordedAnswer{}))
		}
		require.EqualValues(t, 3, bodies.Load())
	})
}
