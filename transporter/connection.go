package transporter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	readBuffer = 4 << 10
	// inlineBody is the length of the longest body that is written before the
	// answer is read, in bytes.
	inlineBody = 16 << 10
	// keepAliveMargin is the time between the last possible reuse of an idle
	// connection and the moment at which its server closes it.
	keepAliveMargin timer.Millis = 500
	// maxStrayBytes bounds the body of an answer to another request that is discarded;
	// the exchange fails with a longer one.
	maxStrayBytes = 1 << 20
	// minStatus and maxStatus bound the statuses that HTTP defines.
	minStatus, maxStatus = 100, 599
)

var (
	errReset  = errors.New("connection ended before the request was written, so the answer may be cut")
	errStatus = errors.New("answer with a status that HTTP does not define")
)

// connection is a connection to a server. It is used by one exchange at a time, and
// guarded by that exchange or, while idle, by the Transporter.
type connection struct {
	conn   net.Conn
	server string
	reader *bufio.Reader
	// silenceTimeout bounds each read; zero means no bound.
	silenceTimeout timer.Millis
	// account is the memory of the exchange. head bounds the head that is read; it is nil
	// while none is.
	account *holder.Account
	head    *headMeter
	reused  bool
	// keepIdle is how long the connection is kept idle, expires the instant at which
	// an idle connection may no longer be used.
	keepIdle timer.Millis
	expires  timer.Millis
	// written is closed when the request has been written or writeErr is set. Only
	// then may writeErr and bytesWritten be read.
	written      chan struct{}
	writeErr     error
	bytesWritten int
	// idleDone is closed when the reader of the idle connection has returned.
	// disturbed is set if the server closed the connection or wrote to it.
	idleDone  chan struct{}
	disturbed atomic.Bool
}

// Read implements io.Reader within silenceTimeout and the bounds of a head.
func (n *connection) Read(p []byte) (int, error) {
	if n.silenceTimeout > 0 {
		_ = n.conn.SetReadDeadline(time.Now().Add(n.silenceTimeout.Duration()))
	}
	if n.head == nil {
		return n.conn.Read(p)
	}
	if n.head.room() <= 0 {
		return 0, errHeadTooLong
	}
	got, err := n.conn.Read(p[:min(len(p), n.head.room())])
	if tooLong := n.head.count(p[:got]); tooLong != nil {
		return 0, tooLong
	}
	return got, err
}

func (n *connection) close() { _ = n.conn.Close() }

// send writes the request. A long body is written concurrently, since a server may
// answer before it has read the body.
func (n *connection) send(r *Request) {
	head := requestHead(r)
	n.written = make(chan struct{})
	if len(r.Body) <= inlineBody {
		n.write(append(head, r.Body...))
		return
	}
	go func() {
		n.write(head, r.Body)
	}()
}

// write writes parts, records the result and closes written.
func (n *connection) write(parts ...[]byte) {
	defer close(n.written)
	for _, p := range parts {
		w, err := n.conn.Write(p)
		n.bytesWritten += w
		if err != nil {
			n.writeErr = err
			return
		}
	}
}

// requestWritten reports whether the request has been written completely.
func (n *connection) requestWritten() bool {
	select {
	case <-n.written:
		return n.writeErr == nil
	default:
		return false
	}
}

// waitWritten waits until the request has been written, at most for the silence timeout, and
// reports whether it was written completely.
//
// The kernel reports the reset of a connection once. If a write is in progress it gets the
// error, and the reads that follow see a plain end of the connection.
func (n *connection) waitWritten() bool {
	if n.silenceTimeout <= 0 {
		<-n.written
		return n.writeErr == nil
	}
	timeout := time.NewTimer(n.silenceTimeout.Duration())
	defer timeout.Stop()
	select {
	case <-n.written:
		return n.writeErr == nil
	case <-timeout.C:
		return false
	}
}

// requestHead returns the encoded request line and headers.
func requestHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.WriteSubset(&b, framingHeaders)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of an answer and skips interim (1xx) answers.
func (n *connection) readHead(method string) (*http.Response, error) {
	n.head = &headMeter{account: n.account}
	defer func() { n.head = nil }()
	for {
		response, err := http.ReadResponse(n.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode < minStatus || response.StatusCode > maxStatus:
			return nil, errStatus
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// discardBody reads the body of an answer that is not used.
func discardBody(r *http.Response) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// classify returns the exported error for an exchange that failed with err.
func (n *connection) classify(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &SilentError{Server: n.server, After: n.silenceTimeout}
	}
	select {
	case <-n.written:
		if n.writeErr != nil && n.bytesWritten == 0 {
			return &NotSentError{Server: n.server, Err: n.writeErr}
		}
	default:
	}
	return &BrokenError{Server: n.server, Reused: n.reused, Err: err}
}

// watchIdle starts a reader that detects when the server closes the idle connection
// or writes to it.
func (n *connection) watchIdle() {
	n.silenceTimeout = 0
	_ = n.conn.SetReadDeadline(time.Time{})
	n.idleDone = make(chan struct{})
	go func() {
		defer close(n.idleDone)
		if _, err := n.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			n.disturbed.Store(true)
		}
	}()
}

// unusable reports whether the server closed the idle connection or wrote to it.
func (n *connection) unusable() bool { return n.disturbed.Load() }

// reclaim stops the reader of an idle connection and reports whether the connection
// may be used.
func (n *connection) reclaim() bool {
	_ = n.conn.SetReadDeadline(time.Unix(1, 0))
	<-n.idleDone
	_ = n.conn.SetReadDeadline(time.Time{})
	return !n.unusable()
}

// discard closes an idle connection and waits for its reader to return.
func (n *connection) discard() {
	n.close()
	<-n.idleDone
}

// indexFold returns the index of part, which is in lower case, in s regardless of case.
func indexFold(s, part string) int { return strings.Index(strings.ToLower(s), part) }
