package executor_test

import (
	"net/http"
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
// caller's items could eject every server of a service for all callers.
func TestItemsThatServersRejectDoNotEjectServers(t *testing.T) {
	e := &engine{statuses: slices.Repeat([]int{http.StatusNotFound}, 12)}
	f := start(t, e)
	f.submit(4)
	require.Eventually(t, func() bool {
		require.True(t, f.options.Ejector.Usable("s0", false), "after %d runs", len(e.received()))
		return len(e.received()) >= 12
	}, waitTimeout, pollInterval)
	require.Len(t, f.results(4), 4, "they are still owed")
}
