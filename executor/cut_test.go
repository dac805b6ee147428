package executor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// itemEvents returns the events of an item from first on.
func itemEvents(first int) string {
	var b strings.Builder
	for i := first; i <= lastEvent; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// chunks returns text in chunks of three bytes.
func chunks(text string) string {
	var b strings.Builder
	for ; len(text) > 3; text = text[3:] {
		b.WriteString("3\r\n" + text[:3] + "\r\n")
	}
	fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	return b.String()
}

// A server stopped at any byte of its answer to an item and closed. What came before was
// taken for the whole output.
func TestAnswerThatIsCutAtAnyByteIsNoWholeOutput(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, answer := range map[string]string{
		"length":  response("200 OK", stream, itemEvents(1)),
		"chunks":  "HTTP/1.1 200 OK\r\nSignature: s\r\n" + stream + "Transfer-Encoding: chunked\r\n\r\n" + chunks(itemEvents(1)),
		"failure": response("500 X", "", "sorry"),
		"refusal": response("503 X", "Not-Run: 1\r\n", ""),
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{}
			for n := 1; n < len(answer); n++ {
				e.answers = append(e.answers, answer[:n])
			}
			items := len(e.answers)
			f := startWithServers(t, e, 40)
			f.submit(items)
			for _, r := range f.resultsWithin(items, 2*time.Minute) {
				require.Equal(t, wholeOutput(), string(r.Output))
				require.False(t, r.Dead)
			}
		})
	}
}
