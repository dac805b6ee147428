package sequencer_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/sequencer"
	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/stretchr/testify/require"
)

// event is an event as a caller sees it.
type event struct{ id, data string }

// readAsCaller reads whole events as the HTML standard says ("Server-sent events",
// interpretation): lines end with CRLF, LF or CR, and events without data are not dispatched.
func readAsCaller(stream string) []event {
	stream = strings.TrimPrefix(stream, "\ufeff")
	stream = strings.ReplaceAll(strings.ReplaceAll(stream, "\r\n", "\n"), "\r", "\n")
	var out []event
	var e event
	hasData := false
	for line := range strings.SplitSeq(stream, "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if hasData {
				out = append(out, event{e.id, strings.TrimSuffix(e.data, "\n")})
			}
			// The last identifier applies to events that have none of their own.
			e.data, hasData = "", false
		case name == "id" && !strings.Contains(value, "\x00"):
			e.id = value
		case name == "data":
			e.data, hasData = e.data+value+"\n", true
		}
	}
	return out
}

// accept returns the raw bytes and the events of a stream until the first one that is not the
// next of its run, reading step bytes at a time.
func accept(stream []byte, step int) (raw []byte, events []event) {
	var s splitter.Splitter
	last := int64(0)
	for len(stream) > 0 {
		n := min(step, len(stream))
		if s.Feed(stream[:n], func(e splitter.Event) error {
			if err := sequencer.Check(e, last); err != nil {
				return err
			}
			raw = append(raw, e.Raw...)
			if !e.Filler {
				last = e.ID
				events = append(events, event{strconv.FormatInt(e.ID, 10), string(e.Data)})
			}
			return nil
		}) != nil {
			break
		}
		stream = stream[n:]
	}
	return raw, events
}

// FuzzRun checks for any bytes that what the host passes on is a prefix of them, and that the
// caller sees the same events in it as the host: numbered from 1 without gaps.
func FuzzRun(f *testing.F) {
	const text = "data: error: worker lost\n\n"
	for _, stream := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", "id: 1\r\ndata: a\r\n\r\n: note\r\n\r\nid: 2\r\ndata\r\n\r\n",
		text, "id: 1\ndata: a\n\n" + text + "id: 2\ndata: b\n\n", "id: 1\n" + text, "id: 1\nid: 1\ndata: a\n\n", "id: 7\ndata: a\n\n",
		": note\r" + text, "id: 1\r\rdata: a\n\n", "\ufeffid: 1\ndata: a\n\n", "id: 1\x00\ndata: a\n\n", "id\ndata: a\n\n", "id: 1\n\n", "weights: 3\nid: 1\ndata:\n\n",
	} {
		f.Add([]byte(stream), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		raw, events := accept(stream, len(stream)+1)
		require.True(t, bytes.HasPrefix(stream, raw))
		require.Equal(t, readAsCaller(string(raw)), events)
		for i, e := range events {
			require.Equal(t, strconv.Itoa(i+1), e.id)
		}
		partsRaw, parts := accept(stream, 1+(step&15))
		require.Equal(t, raw, partsRaw)
		require.Equal(t, events, parts)
	})
}
