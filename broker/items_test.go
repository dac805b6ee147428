package broker_test

import (
	"math"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// Items were accepted as they came: a path with line feeds made two requests of one, a
// negative number of tokens made room for others beyond the limit of the queue, and of two
// items of one name only the first one's body could be read.
func TestJobWithInvalidItemsIsRefused(t *testing.T) {
	valid := func() []queuer.Item {
		return []queuer.Item{
			{ID: "a", Path: "/p?q=1", Headers: map[string]string{"X-Own": "ä, 1"}, Body: []byte("b"), Tokens: 10},
			{ID: "b", Path: "/p/%0a/ä", Tokens: 0},
		}
	}
	submit := func(t *testing.T, list []queuer.Item) gatekeeper.JobAnswer {
		f := start(t)
		f.items = list
		return f.submit("j", "")
	}
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, http.StatusAccepted, submit(t, valid()).Status)
	})
	for name, change := range map[string]func(i *queuer.Item){
		"no name":               func(i *queuer.Item) { i.ID = "" },
		"name of another":       func(i *queuer.Item) { i.ID = "a" },
		"name with a line feed": func(i *queuer.Item) { i.ID = "b\r\nX: 1" },
		"no path":               func(i *queuer.Item) { i.Path = "" },
		"path of another host":  func(i *queuer.Item) { i.Path = "http://other/p" },
		"path with a request":   func(i *queuer.Item) { i.Path = "/p HTTP/1.1\r\n\r\nPOST /p" },
		"header with a colon":   func(i *queuer.Item) { i.Headers = map[string]string{"X:": "1"} },
		"header with a line":    func(i *queuer.Item) { i.Headers = map[string]string{"X": "1\r\nY: 2"} },
		"negative tokens":       func(i *queuer.Item) { i.Tokens = -1 },
		"tokens that overflow":  func(i *queuer.Item) { i.Tokens = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := valid()
				change(&list[1])
				a := submit(t, list)
				require.Equal(t, http.StatusBadRequest, a.Status)
				require.Contains(t, a.Reason, "item 1")
			})
		})
	}
}
