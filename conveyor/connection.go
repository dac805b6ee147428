package conveyor

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

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	readBuffer = 4 << 10
	// inlineBody is the longest body that is written before the answer is read.
	inlineBody = 16 << 10
	// closeMargin is kept between our last use of a connection and the moment
	// at which its server closes it.
	keepAliveMargin timer.Millis = 500
	// maxHead bounds what is read for the heads of one answer, and maxStray an answer
	// to another request that is read and dropped, in bytes.
	maxHeadBytes  = 256 << 10
	maxStrayBytes = 1 << 20
)

var errHeadTooLong = errors.New("bytes that do not become an answer")

// connection is a connection to a server. It is used by one exchange at a time.
type connection struct {
	conn   net.Conn
	server string
	reader *bufio.Reader
	// silence bounds each read; zero for no bound.
	silenceTimeout timer.Millis
	// headLeft is one more than what may still be read before the head of an answer
	// ends; zero when no head is read.
	headBudget int
	reused     bool
	keepIdle   timer.Millis
	expires    timer.Millis
	// written is closed when the request was written, with writeErr set.
	written      chan struct{}
	writeErr     error
	bytesWritten int
	// resting is closed when the reader of a kept connection has ended; dirty
	// says that it found something.
	idleDone  chan struct{}
	disturbed atomic.Bool
}

// Read implements io.Reader under the bound on silence.
func (n *connection) Read(p []byte) (int, error) {
	if n.silenceTimeout > 0 {
		_ = n.conn.SetReadDeadline(time.Now().Add(n.silenceTimeout.Duration()))
	}
	if n.headBudget == 0 {
		return n.conn.Read(p)
	}
	if n.headBudget == 1 {
		return 0, errHeadTooLong
	}
	got, err := n.conn.Read(p[:min(len(p), n.headBudget-1)])
	n.headBudget -= got
	return got, err
}

func (n *connection) close() { _ = n.conn.Close() }

// send writes the request. A long body is written while the answer is read,
// since a server may answer before it has read it.
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

// whole says whether the request has been written to its end.
func (n *connection) requestWritten() bool {
	select {
	case <-n.written:
		return n.writeErr == nil
	default:
		return false
	}
}

func requestHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// head reads the beginning of an answer.
func (n *connection) readHead(method string) (*http.Response, error) {
	n.headBudget = maxHeadBytes
	defer func() { n.headBudget = 0 }()
	for {
		response, err := http.ReadResponse(n.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// drop reads an answer that is not wanted.
func discardBody(r *http.Response) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// failure says what err means for the request.
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

// rest waits for the server to close the connection or to write to it.
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

// spoiled says whether a resting connection cannot be used again.
func (n *connection) unusable() bool { return n.disturbed.Load() }

// wake ends the rest and says whether the connection may be used.
func (n *connection) reclaim() bool {
	_ = n.conn.SetReadDeadline(time.Unix(1, 0))
	<-n.idleDone
	_ = n.conn.SetReadDeadline(time.Time{})
	return !n.unusable()
}

// discard closes a resting connection and waits for its reader.
func (n *connection) discard() {
	n.close()
	<-n.idleDone
}

func indexFold(s, part string) int { return strings.Index(strings.ToLower(s), part) }
