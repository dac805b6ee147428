// Package crowder opens crowds of connections to this repository's own processes on
// loopback addresses, as callers outside an operator's control do, and reads what the
// processes hold.
//
// A crowd stays open until it is closed, so that a test sees what the process does while
// all of its connections are held.
package crowder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is the length of a large body of legal size: the limit is 4 MB.
	bodyBytes = 3_900_000
	// farOverBytes is an announced length far over the limit.
	farOverBytes = 1 << 30
	// sentOverLimit is how many bytes of a body over the limit a caller sends at most.
	sentOverLimit = 24 << 20
	// pieceBytes is the size of the writes of a body that is sent piece by piece.
	pieceBytes = 16 << 10
	// headerBytes is the length of a header that does not end: the limit is 16 KB.
	headerBytes = 15 << 10
	// completeEvery is how many callers there are for each that completes its request.
	completeEvery = 8
	// sendTimeout bounds the time in which a caller sends its part. A process that reads no
	// further makes a caller wait, which must not hold up the test.
	sendTimeout = 15 * time.Second
)

// Target is where a crowd connects to. Head is the request line and the headers of its
// requests, each with its line end, without those that state the length of the body.
type Target struct{ Address, Head string }

// Kind is what the callers of a crowd send.
type Kind struct {
	Name string
	// Callers is the number of connections.
	Callers int
	send    func(w io.Writer, head string, complete bool) error
}

// Kinds lists all kinds of crowds.
func Kinds() []Kind {
	const bodies, connections = 64, 800
	return []Kind{
		{"whole bodies", bodies, sized(bodyBytes)},
		{"bodies piece by piece", bodies, sized(pieceBytes)},
		{"chunks of 64 KB", bodies, chunked(64<<10, bodyBytes)},
		{"chunks of 7 bytes", bodies, chunked(7, bodyBytes)},
		{"bodies announced far over the limit", bodies, announced},
		{"chunks without end", bodies, chunked(64<<10, sentOverLimit)},
		{"idle connections", connections, idle},
		{"headers without end", connections, endlessHeader},
	}
}

// sized sends a body of legal size with its length, in writes of at most piece bytes.
func sized(piece int) func(io.Writer, string, bool) error {
	return func(w io.Writer, head string, complete bool) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, bodyBytes); err != nil {
			return err
		}
		left := bodyBytes
		if !complete {
			left--
		}
		return fill(w, left, piece)
	}
}

// fill writes n bytes in writes of at most piece bytes.
func fill(w io.Writer, n, piece int) error {
	p := []byte(strings.Repeat("x", piece))
	for n > 0 {
		k := min(n, piece)
		if _, err := w.Write(p[:k]); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

// chunked sends total bytes in chunks of size bytes. Only a complete request has the last
// chunk, which is empty.
func chunked(size, total int) func(io.Writer, string, bool) error {
	return func(w io.Writer, head string, complete bool) error {
		b := bufio.NewWriterSize(w, 64<<10)
		if _, err := b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		one := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		for sent := 0; sent+size <= total; sent += size {
			if _, err := b.WriteString(one); err != nil {
				return err
			}
		}
		if complete {
			if _, err := b.WriteString("0\r\n\r\n"); err != nil {
				return err
			}
		}
		return b.Flush()
	}
}

// announced announces a body far over the limit and sends some of it.
func announced(w io.Writer, head string, _ bool) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, farOverBytes); err != nil {
		return err
	}
	return fill(w, sentOverLimit, 64<<10)
}

// idle sends nothing.
func idle(io.Writer, string, bool) error { return nil }

// endlessHeader sends a header that stops before its end.
func endlessHeader(w io.Writer, head string, _ bool) error {
	_, err := io.WriteString(w, head+"X-Filler: "+strings.Repeat("x", headerBytes))
	return err
}

// Crowd is the open connections of many callers.
type Crowd struct {
	conns []net.Conn
	// Refused counts connections that could not be opened, Answers the responses that
	// callers read, by status. They may be read after Open has returned.
	Refused int
	Answers map[int]int
}

// Open opens a crowd of this kind. It returns when each caller has sent its part, or could
// not, and has read the response if there is one by then.
func Open(k Kind, to Target) *Crowd {
	c := &Crowd{Answers: make(map[int]int)}
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := range k.Callers {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp4", to.Address, sendTimeout)
			mu.Lock()
			if err != nil {
				c.Refused++
				mu.Unlock()
				return
			}
			c.conns = append(c.conns, conn)
			mu.Unlock()
			status := run(conn, k, to.Head, i%completeEvery == 0)
			mu.Lock()
			c.Answers[status]++
			mu.Unlock()
		})
	}
	sending.Wait()
	return c
}

// readTimeout is how long a caller that has sent its part waits for a response.
const readTimeout = 2 * time.Second

// run sends one caller's part while it reads the response, and returns the status of the
// response, or 0 without one.
func run(conn net.Conn, k Kind, head string, complete bool) int {
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	answered := make(chan int, 1)
	go func() {
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			answered <- 0
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		answered <- r.StatusCode
	}()
	// A process that closes a connection early makes the write fail. The response, if any,
	// says why.
	_ = k.send(conn, head, complete)
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	return <-answered
}

// Close closes the connections of the crowd.
func (c *Crowd) Close() {
	for _, x := range c.conns {
		_ = x.Close()
	}
}
