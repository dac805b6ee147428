package executor_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// response returns a signed response with a length.
func response(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nSignature: s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, headers, len(body), body)
}

// A run broke off, and the next server answers with something that does not continue it. It
// was taken for the end of the output, or its text for a part of it.
func TestAnswerThatDoesNotContinueAnItemIsNoOutput(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, answer := range map[string]string{
		"success that is no stream":     response("200 OK", "Content-Type: application/json\r\n", `{"error":"overloaded"}`),
		"empty success":                 response("200 OK", "Content-Type: application/json\r\n", ""),
		"text with an end":              response("200 OK", "", "{\"error\":\"overloaded\"}\n\n"),
		"text as a stream":              response("200 OK", stream, "Internal Server Error\n\n"),
		"head as a stream":              response("200 OK", stream, "HTTP/1.1 503 X\r\nRetry-After: 1\r\n\r\n"),
		"event without a number":        response("200 OK", stream, "data: overloaded\n\n"),
		"error event":                   response("200 OK", stream, "event: error\ndata: overloaded\n\n"),
		"event with another number":     response("200 OK", stream, "id: 1\ndata: e1\n\n"),
		"failure that is a stream":      response("502 X", stream, "data: overloaded\n\n"),
		"other success":                 response("201 X", stream, "data: overloaded\n\n"),
		"refusal without a guarantee":   response("503 X", "", "overloaded\n\n"),
		"success without any framing":   "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n{\"error\":\"overloaded\"}\n\n",
		"success that ends in an event": response("200 OK", stream, "id: 4\ndata: e"),
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{breakAt: []int{4}, answers: []string{answer}}
			f := start(t, e)
			f.submit(1)
			r := f.results(1)
			require.Equal(t, wholeOutput(), string(r[0].Output))
			require.False(t, r[0].Dead)
		})
	}
}

// The first answer to an item has no event.
func TestEmptyAnswerIsNoOutput(t *testing.T) {
	e := &engine{answers: []string{response("200 OK", "Content-Type: text/event-stream\r\n", ""), response("200 OK", "", "oops\n\n")}}
	f := start(t, e)
	f.submit(1)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
}
