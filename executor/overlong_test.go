package executor_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// overlong is an answer with numbered events of 100 KB together. An item of ten tokens may have
// 64 KB.
func overlong() string { return longAnswer(100, 1<<10) }

// longAnswer is an answer with this many numbered events of this many bytes.
func longAnswer(events, bytes int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", bytes))
	}
	return response("200 OK", "Content-Type: text/event-stream\r\n", b.String())
}

// submitShort submits an item of ten tokens.
func (f *fixture) submitShort() {
	f.submitItem(queuer.Item{ID: "i0", Path: "/b/x", Body: []byte("body0"), Tokens: 10})
}

// A server sent more than the item may have. What had come stayed with the item: on each other
// server, the first event exceeded the bound again, and the item never ended.
func TestItemGoesOnElsewhereAfterAnOverlongAnswer(t *testing.T) {
	for name, answers := range map[string][]string{
		"numbered events":        {overlong()},
		"events of 5 MB":         {longAnswer(50, 100<<10)},
		"at two servers":         {overlong(), overlong()},
		"bytes without a number": {unfinished(strings.Repeat("data: "+strings.Repeat("x", 250)+"\n\n", 20000))},
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{answers: answers}
			f := startWithServers(t, e, 4)
			f.submitShort()
			r := f.results(1)
			require.Equal(t, wholeOutput(), string(r[0].Output))
			require.False(t, r[0].Dead)
			require.Equal(t, "i0 after  body0", e.received()[0])
		})
	}
}

// An item that is too long wherever it runs was run again until its retention period was over,
// and its caller was not told why it had no result.
func TestItemThatIsTooLongOnAllServersIsAbandonedWithTheReason(t *testing.T) {
	for _, servers := range []int{1, 2, 3, 8} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			e := &engine{answers: slices.Repeat([]string{overlong()}, 20)}
			f := startWithServers(t, e, servers)
			f.submitShort()
			r := f.results(1)
			require.True(t, r[0].Dead)
			require.Equal(t, fmt.Sprintf("output exceeds 65536 bytes, the limit for this item, on %d servers", min(servers, 3)), string(r[0].Output))
			require.GreaterOrEqual(t, 20-e.answersLeft(), 3)
		})
	}
}

// The only server of a service sends two answers without end. Its third answer counts.
func TestOneServersOverlongAnswersDoNotAbandonAnItem(t *testing.T) {
	e := &engine{answers: []string{overlong(), overlong()}}
	f := start(t, e)
	f.submitShort()
	r := f.results(1)
	require.False(t, r[0].Dead)
	require.Equal(t, wholeOutput(), string(r[0].Output))
}

// A server sent more events than the item has and broke off. No server could continue behind
// them, so the item never ended.
func TestItemStartsOverIfNoServerContinuesIt(t *testing.T) {
	for name, servers := range map[string]int{"one server": 1, "several servers": 5} {
		t.Run(name, func(t *testing.T) {
			part := overlong()[strings.Index(overlong(), "id: 1"):][:40<<10]
			e := &engine{answers: []string{unfinished(part)}}
			f := startWithServers(t, e, servers)
			f.submitShort()
			r := f.results(1)
			require.Equal(t, wholeOutput(), string(r[0].Output))
			require.GreaterOrEqual(t, slices.Index(e.received(), "i0 after  body0"), 3)
		})
	}
}

// The same for output that another host has saved.
func TestItemStartsOverIfNoServerContinuesItsSavedOutput(t *testing.T) {
	e := &engine{}
	f := startWithServers(t, e, 3)
	f.takeOver(queuer.Part{Output: []byte(strings.Repeat("x\n", 49) + "x"), Events: 50, LastEvent: 50})
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
}
