package splitter_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/jackdawgate/jackdawgate/tester/harness"
)

// A server's stream that is corrupted in any way and split at any point must yield
// events or an error, never a panic.
func TestDamagedStreamsDoNotPanic(t *testing.T) {
	sample := []byte("id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n: note\nid: x\ndata\n\n")
	harness.Mutate(5, 20000, [][]byte{sample}, func(b []byte) {
		var s splitter.Splitter
		half := len(b) / 2
		_ = s.Feed(b[:half], func(splitter.Event) error { return nil })
		_ = s.Feed(b[half:], func(splitter.Event) error { return nil })
	})
}
