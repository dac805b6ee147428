package splitter_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEventsDoNotDependOnReadBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var stream strings.Builder
		var want []string
		for i := range n {
			data := rapid.StringMatching(`[a-z ]{0,12}`).Draw(t, "data")
			raw := fmt.Sprintf("id: %d%sdata: %s%s%s", i+1, end, data, end, end)
			stream.WriteString(raw)
			want = append(want, fmt.Sprintf("%d:%s:%d", i+1, data, len(raw)))
		}
		var s splitter.Splitter
		var got []string
		rest := []byte(stream.String())
		for len(rest) > 0 {
			k := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			require.NoError(t, s.Feed(rest[:k], func(e splitter.Event) error {
				require.True(t, e.HasID && e.HasData)
				got = append(got, fmt.Sprintf("%d:%s:%d", e.ID, e.Data, len(e.Raw)))
				return nil
			}))
			rest = rest[k:]
		}
		require.Equal(t, want, got)
		require.False(t, s.Partial())
	})
}

func TestUnterminatedEventIsPartial(t *testing.T) {
	var s splitter.Splitter
	require.NoError(t, s.Feed([]byte("id: 1\ndata: a\n\nid: 2\nda"), func(splitter.Event) error { return nil }))
	require.True(t, s.Partial())
}

func TestLinesBeforeIDArePartOfEvent(t *testing.T) {
	var s splitter.Splitter
	var got splitter.Event
	raw := "some-version: 3\nid: 7\ndata: a\ndata: b\n\n"
	require.NoError(t, s.Feed([]byte(raw), func(e splitter.Event) error {
		got = e
		got.Raw = append([]byte(nil), e.Raw...)
		return nil
	}))
	require.Equal(t, raw, string(got.Raw))
	require.EqualValues(t, 7, got.ID)
	require.Equal(t, "a\nb", string(got.Data))
}

// A server may send bytes forever that never complete an event. Feed must fail before
// they use unbounded memory.
func TestUnboundedEventIsRefused(t *testing.T) {
	for _, part := range []string{strings.Repeat("x", 1000), "data: x\n", "\r"} {
		var s splitter.Splitter
		var failed error
		fed := 0
		for failed == nil && fed < 8<<20 {
			failed = s.Feed([]byte(part), func(splitter.Event) error { return nil })
			fed += len(part)
		}
		var long *splitter.TooLongError
		require.ErrorAs(t, failed, &long)
		require.LessOrEqual(t, fed, 1<<20)
	}
}

// Readers that take a carriage return for the end of a line, or the first of two ids, saw other
// events than the host: bytes of a faulty server behind one, or another number.
func TestEventThatReadersUnderstandDifferentlyHasNoNumber(t *testing.T) {
	for raw, want := range map[string]splitter.Event{
		"id: 7\ndata: a\n\n":                {ID: 7, HasID: true},
		"id:7\r\ndata: a\r\n\r\n":           {ID: 7, HasID: true},
		"id: 7\ndata: a\r\rdata: b\n\n":     {},
		"id: 7\rdata: a\n\n":                {},
		"id: 7\r\r\ndata: a\n\n":            {},
		"id: 7\nid: 8\ndata: a\n\n":         {},
		"id: 7\nid\ndata: a\n\n":            {},
		"id: 7\nid: x\ndata: a\n\n":         {},
		"id: +7\ndata: a\n\n":               {},
		"id: -7\ndata: a\n\n":               {},
		"id: 07\ndata: a\n\n":               {},
		"id: 0\ndata: a\n\n":                {},
		"id: 7 \ndata: a\n\n":               {},
		"id:\ndata: a\n\n":                  {},
		"id: 9223372036854775808\ndata\n\n": {},
		"id: 3\ndata\n\n":                   {ID: 3, HasID: true},
		"\ufeffdata:\nid: 3\ndata:\n\n":     {},
		": note\n\n":                        {Filler: true},
		": note\rdata: a\n\n":               {},
		"retry: 5\r\n: note\r\n\r\n":        {Filler: true},
	} {
		var s splitter.Splitter
		var got []splitter.Event
		require.NoError(t, s.Feed([]byte(raw), func(e splitter.Event) error {
			got = append(got, splitter.Event{ID: e.ID, HasID: e.HasID, Filler: e.Filler})
			return nil
		}))
		require.Equal(t, []splitter.Event{want}, got, "%q", raw)
	}
}
