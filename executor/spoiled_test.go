package executor_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// unfinished returns the beginning of a signed stream that breaks off after body.
func unfinished(body string) string {
	return "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 1000000\r\n\r\n" + body
}

// A server sent bytes that are no event of the item's run and broke off. They stayed in front
// of the output of the next run, and the item was listed with them.
func TestBytesThatAreNoEventOfARunAreNoOutput(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, answer := range map[string]string{
		"text before the first event":    unfinished("data: error: worker lost\n\n"),
		"text as a whole answer":         response("200 OK", stream, "data: error: worker lost\n\n"),
		"text after five events":         unfinished(itemEvents(1)[:5*len("id: 1\ndata: e1\n\n")] + "data: error: worker lost\n\n"),
		"text after the last event":      response("200 OK", stream, itemEvents(1)+"data: error: worker lost\n\n"),
		"first event missing":            response("200 OK", stream, itemEvents(2)),
		"first event of a later part":    unfinished("id: 7\ndata: e7\n\n"),
		"event cut after its number":     unfinished("id: 1\n\n"),
		"number that is none":            unfinished("id: one\ndata: e1\n\n"),
		"error event with a number":      unfinished("event: error\nid: 9\ndata: x\n\n"),
		"comment in front of a text":     unfinished(": hello\n\ndata: x\n\n"),
		"text without a type, cut":       "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 1000\r\n\r\ndata: x\n\n",
		"text without a type, whole":     response("200 OK", "", "data: x\n\n"),
		"text without length, then gone": "HTTP/1.1 200 OK\r\nSignature: s\r\n" + stream + "\r\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{answers: []string{answer}}
			f := start(t, e)
			f.submit(1)
			r := f.results(1)
			require.Equal(t, wholeOutput(), string(r[0].Output))
			require.False(t, r[0].Dead)
		})
	}
}

// An event lost a part behind its number, and other bytes completed it before the server broke
// off. It has the next number, but is no event of the server.
func TestEventThatOtherBytesCompletedIsNoOutput(t *testing.T) {
	const head, text = "id: 1\ndata: e1\n\n", "data: error: worker lost\n\n"
	for name, body := range map[string]string{
		"after its number":          head + "id: 2\n" + text,
		"within its data":           head + "id: 2\ndata: e" + text,
		"before its end":            head + "id: 2\ndata: e2\n" + text,
		"then more":                 head + "id: 2\ndata: e" + text + text,
		"the first event":           "id: 1\n" + text,
		"the last event":            itemEvents(1)[:len(itemEvents(1))-len("6\n\n")] + text,
		"by an event":               head + "id: 2\n" + "id: 2\ndata: e2\n\n",
		"by an event of another":    head + "id: 2\n" + "id: 7\ndata: e7\n\n",
		"by the head of an answer":  head + "id: 2\ndata: HTTP/1.1 200 OK\r\n\r\n",
		"by a comment":              head + "id: 2\ndata: e: waiting\n\n",
		"by a blank line, no data":  head + "id: 2\n\n",
		"by a blank line with data": head + "id: 2\ndata: e\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{answers: []string{unfinished(body)}}
			f := start(t, e)
			f.submit(1)
			require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
		})
	}
}

// The next server has nothing to add to events that were received before a server broke off.
// An empty answer was taken for the end of the output.
func TestEmptyRestIsNotTheEndOfAnItem(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for _, empty := range []string{response("200 OK", stream, ""), response("200 OK", "", ""), response("200 OK", stream, ": done\n\n")} {
		e := &engine{answers: []string{unfinished("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"), empty}}
		f := start(t, e)
		f.submit(1)
		require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	}
}

// A server breaks off after the last event of an item and before the end of its answer.
func TestItemIsCompleteAfterABreakBehindItsLastEvent(t *testing.T) {
	e := &engine{answers: []string{unfinished(itemEvents(1))}}
	f := start(t, e)
	f.submit(1)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Equal(t, "i0 after 5 body0", e.received()[0])
}
