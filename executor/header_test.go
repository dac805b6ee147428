package executor_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// An item's own headers reached the server beside the host's: with them, an item of a job
// without a workspace ran as another workspace's, or began after events that it never had.
func TestItemsHeadersDoNotReplaceThoseOfTheHost(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	f.submitItem(queuer.Item{ID: "i0", Path: "/b/x", Headers: map[string]string{
		"workspace": "other", "After": "4", "key": "k", "Expect": "another", "Deadline": "1", "Id": "i9",
		"Connection": "close, X-Own", "X-Own": "1", "Content-Length": "2", "Transfer-Encoding": "chunked", "Host": "other", "Other": "kept",
	}, Body: []byte("body0")})
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Equal(t, []string{"i0 after  body0"}, e.received())
	h := e.lastHead()
	require.Equal(t, "kept", h.Get("Other"))
	require.Equal(t, "s0", h.Get("Expect"))
	require.NotEqual(t, "1", h.Get("Deadline"))
	for _, name := range []string{"Workspace", "Key", "Connection", "X-Own", "Transfer-Encoding"} {
		require.Empty(t, h.Values(name), name)
	}
}

// An item whose path cannot stand in a request was sent again and again, and each time the
// server was blamed.
func TestItemWithAnInvalidPathIsAbandonedWithoutBlame(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	f.submitItem(queuer.Item{ID: "i0", Path: "/b/x HTTP/1.1\r\nWorkspace: other\r\n\r\nPOST /b/y", Body: []byte("body0")})
	r := f.resultsWithin(1, 5*time.Second)
	require.True(t, r[0].Dead)
	require.Empty(t, e.received())
	require.True(t, f.options.Ejector.Usable("s0", false))
}

// Items that servers answer with 404, say, counted as calls that the servers broke off: one
// caller's items could eject every server of a service for all callers. With the header of
// one item, all servers were taken for stopped ones.
func TestItemsThatServersRejectDoNotEjectServers(t *testing.T) {
	for name, answer := range map[string]string{
		"signed 404": response("404 X", "", ""), "431": unsigned("431 X", ""), "413": unsigned("413 X", ""), "304": unsigned("304 X", ""),
		"206": response("206 X", "", "e"), "no stream": response("200 OK", "Content-Type: application/json\r\n", "{}"),
		"other weights": unsigned("421 X", "Not-Run: 1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{answers: slices.Repeat([]string{answer}, 12)}
			f := start(t, e)
			var items []queuer.Item
			for i := range 4 {
				items = append(items, queuer.Item{ID: fmt.Sprint("i", i), Path: "/b/x", Headers: map[string]string{"Expect-Version": "2"}, Body: []byte("b")})
			}
			f.submitItems("j", items)
			v := f.current().Servers["s0"]
			require.Eventually(t, func() bool {
				left := e.answersLeft()
				require.True(t, f.options.Ejector.Usable("s0", false), "%d answers left", left)
				require.False(t, f.options.Departer.IsLeaving(v.Incarnation()), "%d answers left", left)
				return left == 0
			}, waitTimeout, pollInterval)
			require.Len(t, f.results(4), 4, "they are still owed")
		})
	}
}

// unsigned returns a response without a signature.
func unsigned(status, headers string) string {
	return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\nConnection: close\r\n\r\n"
}
