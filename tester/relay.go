package tester

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards TCP connections to one target. Connections can be blocked by
// source: the name of the host in the peer handshake, or storeClient for a
// connection without one.
type relay struct {
	listener net.Listener
	target   string

	// mu guards blocked, links and the field stalled of each link.
	mu      sync.Mutex
	blocked map[string]bool
	links   map[*link]bool
}

// storeClient is the source of all connections that do not come from a peer.
const storeClient = ""

// link is one relayed connection.
type link struct {
	from    string
	in, out net.Conn
	// stalled drops all further bytes and does not close either connection when
	// the other one ends.
	stalled bool
}

// startRelay starts a relay that runs until the test ends.
func startRelay(t *testing.T, listen, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	r := &relay{listener: l, target: target, blocked: make(map[string]bool), links: make(map[*link]bool)}
	go r.serve()
	t.Cleanup(func() {
		_ = l.Close()
		r.closeLinks(func(*link) bool { return true })
	})
	return r
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(c)
	}
}

// handle determines the source of a connection and, unless it is blocked, forwards
// bytes in both directions.
func (r *relay) handle(in net.Conn) {
	head, from, err := readHead(in)
	if err != nil {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{from: from, in: in, out: out}
	r.mu.Lock()
	refused := r.blocked[from]
	if !refused {
		r.links[l] = true
	}
	r.mu.Unlock()
	if refused {
		_ = in.Close()
		_ = out.Close()
		return
	}
	go r.forward(l, out, io.MultiReader(bytes.NewReader(head), in))
	r.forward(l, in, out)
}

// readHead reads up to the end of the header section of the first HTTP request and
// returns the bytes read and the source of the connection.
func readHead(c net.Conn) ([]byte, string, error) {
	var head []byte
	b := make([]byte, 4096)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		n, err := c.Read(b)
		if err != nil {
			return nil, "", err
		}
		head = append(head, b[:n]...)
	}
	for _, line := range strings.Split(string(head), "\r\n") {
		name, value, ok := strings.Cut(line, ": ")
		if ok && http.CanonicalHeaderKey(name) == "Jackdawgate-Peer" {
			host, _, _ := strings.Cut(value, "/")
			return head, host, nil
		}
	}
	return head, storeClient, nil
}

// forward copies bytes in one direction and closes both connections of the link
// when the copy ends, unless the link is stalled.
func (r *relay) forward(l *link, to io.Writer, from io.Reader) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		r.mu.Lock()
		stalled := l.stalled
		r.mu.Unlock()
		if stalled {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			break
		}
	}
	r.mu.Lock()
	stalled := l.stalled
	delete(r.links, l)
	r.mu.Unlock()
	if !stalled {
		_ = l.in.Close()
		_ = l.out.Close()
	}
}

// setBlocked closes the open connections of a source and refuses its new ones, or,
// if on is false, accepts new ones again.
func (r *relay) setBlocked(from string, on bool) {
	r.mu.Lock()
	r.blocked[from] = on
	r.mu.Unlock()
	if on {
		r.closeLinks(func(l *link) bool { return l.from == from })
	}
}

// stallLinks makes the open connections deliver nothing more, without closing
// them.
func (r *relay) stallLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.stalled = true
	}
}

// closeLinks closes both connections of each link that match selects.
func (r *relay) closeLinks(match func(*link) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		if match(l) {
			_ = l.in.Close()
			_ = l.out.Close()
		}
	}
}
