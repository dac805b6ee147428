package transporter_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"github.com/stretchr/testify/require"
)

// lines returns n short header lines with names that differ.
func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

// write returns the address of a server that answers each request with text.
func write(t *testing.T, text string) string {
	return server(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, r)
	})
}

// Short header lines take many times their length in memory once they are parsed.
func TestHeadWithTooManyLinesIsBroken(t *testing.T) {
	end := "Content-Length: 0\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\n" + lines(8) + "\r\n"
	cases := map[string]struct {
		text  string
		valid bool
	}{
		"200-lines":          {"HTTP/1.1 200 OK\r\n" + lines(200) + end, true},
		"300-lines":          {"HTTP/1.1 200 OK\r\n" + lines(300) + end, false},
		"few-interim-heads":  {strings.Repeat(interim, 5) + "HTTP/1.1 200 OK\r\n" + end, true},
		"many-interim-heads": {strings.Repeat(interim, 40) + "HTTP/1.1 200 OK\r\n" + end, false},
		"interim-and-lines":  {interim + "HTTP/1.1 200 OK\r\n" + lines(250) + end, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := get(t, newTransporter(t), request(write(t, c.text), "1"))
			if c.valid {
				require.NoError(t, err)
				return
			}
			var broken *transporter.BrokenError
			require.True(t, errors.As(err, &broken), "%v", err)
		})
	}
}

// The body of an answer may come with its head, and have many short lines.
func TestLinesOfTheBodyDoNotCountForTheHead(t *testing.T) {
	body := strings.Repeat("\n", 3000)
	got, err := get(t, newTransporter(t), request(write(t, answer("1", body)), "1"))
	require.NoError(t, err)
	require.Equal(t, body, got)
	got, err = get(t, newTransporter(t), request(write(t, "HTTP/1.1 100 Continue\r\n\r\n"+answer("1", body)), "1"))
	require.NoError(t, err)
	require.Equal(t, body, got)
}

// Heads of all exchanges together take no more than the memory for answers, and a short head
// is read whatever the others take.
func TestHeadsAreReadInTheMemoryForAnswers(t *testing.T) {
	memory := holder.New(64 << 10)
	c := transporter.New(transporter.Options{IDHeader: "Id", Clock: timer.System(), Memory: memory})
	t.Cleanup(c.Close)
	long := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 40<<10) + "\r\nContent-Length: 0\r\n\r\n"
	first, err := c.Send(t.Context(), request(write(t, long), "1"), timer.Second)
	require.NoError(t, err)
	require.Positive(t, memory.InUse())
	_, err = c.Send(t.Context(), request(write(t, long), "2"), timer.Second)
	var tooLong *holder.TooLongError
	require.ErrorAs(t, err, &tooLong)
	short, err := c.Send(t.Context(), request(write(t, answer("3", "")), "3"), timer.Second)
	require.NoError(t, err)
	first.Close()
	short.Close()
	require.Zero(t, memory.InUse())
}
