package gatekeeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// drip is a body that sends a byte in each pause.
type drip struct {
	*slowBody
	each timer.Millis
}

func (d *drip) Read(p []byte) (int, error) {
	d.pause = d.each
	return d.slowBody.Read(p[:1])
}

// A caller sent a byte now and then, within the longest pause, and kept its connection and
// memory for hours. A body that keeps to the rate is read however long it takes.
func TestBodyBelowTheMinimumRateIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for each, status := range map[timer.Millis]int{900: http.StatusOK, 14000: http.StatusRequestTimeout} {
			f := newFixture()
			f.configure()
			f.limit(cataloger.Limits{IdleTimeout: 15000})
			f.setRate(1)
			b := &drip{&slowBody{ResponseRecorder: httptest.NewRecorder(), rest: strings.NewReader(strings.Repeat("x", 100))}, each}
			r := httptest.NewRequest(http.MethodPost, "http://h/open/1", b)
			began := time.Now()
			f.gate.ServeHTTP(b, r)
			require.Equal(t, status, b.Code)
			if status != http.StatusOK {
				require.Less(t, time.Since(began), 20*time.Second)
				require.Empty(t, f.relay.calls)
				require.Zero(t, f.memory.InUse())
			}
		}
	})
}

// A caller that sends its whole body before it reads got a reset instead of the refusal.
func TestRefusalOfAnUnreadBodyReachesTheCaller(t *testing.T) {
	f := newFixture()
	f.configure()
	f.limit(cataloger.Limits{BodyBytes: 1000})
	s := httptest.NewServer(f.gate)
	defer s.Close()
	for path, status := range map[string]int{"/open/1": http.StatusRequestEntityTooLarge, "/chat/1": http.StatusUnauthorized} {
		c, err := net.Dial("tcp4", s.Listener.Addr().String())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		const length = 900_000
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", length-1))
		require.NoError(t, err, "the connection was reset while the request was being sent")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, status, r.StatusCode)
		_, err = io.ReadAll(r.Body)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	require.Empty(t, f.relay.calls)
}

// A refused caller that stopped short of the end of a short chunked body was answered only
// when the connection ended.
func TestRefusalDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	f := newFixture()
	f.configure()
	s := httptest.NewServer(f.gate)
	defer s.Close()
	c, err := net.Dial("tcp4", s.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /chat/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, r.StatusCode)
}

// FuzzRequest sends the bytes of a connection that ends early. No request whose body has not
// arrived whole may run.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /open/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("POST /open/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbod"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		x := newFixture()
		x.configure()
		x.limit(cataloger.Limits{BodyBytes: 1000})
		in := bufio.NewReader(strings.NewReader(string(sent)))
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		whole, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(sent))))
		require.NoError(t, err)
		body, bodyErr := io.ReadAll(whole.Body)
		q.URL.Scheme, q.RemoteAddr = "http", "192.0.2.1:1"
		w := httptest.NewRecorder()
		x.gate.ServeHTTP(w, q)
		for _, c := range x.relay.calls {
			require.NoError(t, bodyErr, "a request ran whose body did not arrive whole")
			require.Equal(t, string(body), string(c.Body))
		}
	})
}
