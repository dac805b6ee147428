package splitter_test

import (
	"bytes"
	"testing"

	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/stretchr/testify/require"
)

// FuzzEvents checks that the events of a stream do not depend on where its reads end, and
// that they hold all its bytes.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\n: note\nid: x\ndata\n\n"), 7)
	f.Add([]byte("data: a\r\rdata: b\n\r\n\n\nid: 9223372036854775808\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		feed := func(step int) (raw [][]byte, ids []int64) {
			var s splitter.Splitter
			for rest := stream; len(rest) > 0; {
				n := min(step, len(rest))
				require.NoError(t, s.Feed(rest[:n], func(e splitter.Event) error {
					raw, ids = append(raw, bytes.Clone(e.Raw)), append(ids, e.ID)
					return nil
				}))
				rest = rest[n:]
			}
			return raw, ids
		}
		whole, ids := feed(len(stream) + 1)
		parts, partIDs := feed(max(1, step%16))
		require.Equal(t, whole, parts)
		require.Equal(t, ids, partIDs)
		require.True(t, bytes.HasPrefix(stream, bytes.Join(whole, nil)))
	})
}
