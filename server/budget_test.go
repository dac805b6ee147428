package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// Callers that stop short of the end of their bodies took memory without a bound. The one that
// has stalled is refused as not run, in a response that it can read, and another is served.
func TestStalledBodyIsShedForAnother(t *testing.T) {
	// 3 MB are for bodies, one of which takes half at most.
	budget := holder.NewBudget(holder.Resources{MemoryMB: 16}, timer.System(), nil)
	h := newLoopbackHarness(t, answerWith("{}"), func(o *server.Options) { o.Budget = budget })
	const length = 1_400_000
	var stalled []*bufio.Reader
	for range 2 {
		c, err := h.dial()
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, length, strings.Repeat("x", length-1))
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		stalled = append(stalled, bufio.NewReader(c))
	}
	require.Eventually(t, func() bool { return budget.Bodies.InUse() > 2*(length-64<<10) }, 10*time.Second, time.Millisecond)
	// The product of the stalled ones' size and time must exceed that of the one that arrives.
	time.Sleep(50 * time.Millisecond)
	body := strings.Replace(chatBody, "hi", strings.Repeat("h", 1_200_000), 1)
	require.Equal(t, 200, h.do(h.request("POST", "/v1/chat/completions", body)).status)
	answers := make(chan *http.Response, 2)
	for _, r := range stalled {
		go func() {
			if a, err := http.ReadResponse(r, nil); err == nil {
				answers <- a
			}
		}()
	}
	a := <-answers
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.Equal(t, 503, a.StatusCode)
	require.Contains(t, string(text), `"code":"over-budget"`)
	require.Equal(t, "true", a.Header.Get("jackdawgate-not-run"))
}
