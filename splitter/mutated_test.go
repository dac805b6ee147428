package splitter_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/jackdawgate/jackdawgate/tester/harness"
)

// Pattern: malformed message. A server's stream, damaged in any way and cut at
// any place, gives events or an error.
func TestDamagedStreamsDoNoHarm(t *testing.T) {
	sample := []byte("id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n: note\nid: x\ndata\n\n")
	harness.Mutate(5, 20000, [][]byte{sample}, func(b []byte) {
		var s splitter.Splitter
		half := len(b) / 2
		_ = s.Feed(b[:half], func(splitter.Event) error { return nil })
		_ = s.Feed(b[half:], func(splitter.Event) error { return nil })
	})
}
