// Package splitter cuts a stream of server-sent events into whole events.
package splitter

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 512 << 10

// Event is one whole event as it was sent, its end included.
type Event struct {
	Raw []byte
	// ID is the event's number; HasID is false when it has none.
	ID    int64
	HasID bool
	// Data are the event's data lines, joined by line feeds.
	Data    []byte
	HasData bool
}

// Splitter holds the beginning of an event whose end has not come yet. It is
// used by one goroutine.
type Splitter struct {
	held []byte
	// searched is how much of held has no event's end.
	searched int
}

// Feed takes bytes and calls each for every event that they complete. The bytes
// of an event are valid until each returns.
func (s *Splitter) Feed(p []byte, each func(Event) error) error {
	s.held = append(s.held, p...)
	used := 0
	for {
		end := eventEnd(s.held[used:], s.searched)
		if end < 0 {
			break
		}
		raw := s.held[used : used+end]
		used += end
		s.searched = 0
		if err := each(parse(raw)); err != nil {
			return err
		}
	}
	if used > 0 {
		s.held = append(s.held[:0], s.held[used:]...)
	}
	// An end may begin in the last bytes.
	s.searched = max(0, len(s.held)-longestEnd)
	if len(s.held) > maxEvent {
		return &TooLongError{Bytes: len(s.held)}
	}
	return nil
}

// readSize is how much is read of a stream at once, in bytes.
const readSize = 4 << 10

// PartialError says that a stream ended within an event.
type PartialError struct{}

func (*PartialError) Error() string { return "stream ended within an event" }

// Read reads a stream to its end and calls each for every event, and heard
// whenever bytes came. It returns nil only after a whole stream.
func Read(r io.Reader, heard func(), each func(Event) error) error {
	var s Splitter
	buffer := make([]byte, readSize)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			heard()
			if failed := s.Feed(buffer[:n], each); failed != nil {
				return failed
			}
		}
		switch {
		case errors.Is(err, io.EOF) && s.Partial():
			return &PartialError{}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// Partial says whether an event has begun and not ended.
func (s *Splitter) Partial() bool { return len(bytes.TrimSpace(s.held)) > 0 }

// TooLongError says that an event is longer than is taken.
type TooLongError struct{ Bytes int }

func (e *TooLongError) Error() string {
	return "event of more than " + strconv.Itoa(e.Bytes) + " bytes"
}

// longestEnd is the length of the longest blank line with the line end before it.
const longestEnd = 4

// eventEnd returns the length of the first event with its blank line, or -1. No
// event ends before from.
func eventEnd(p []byte, from int) int {
	at := from
	for {
		i := bytes.IndexByte(p[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		if at < len(p) && p[at] == '\n' {
			return at + 1
		}
		if at+1 < len(p) && p[at] == '\r' && p[at+1] == '\n' {
			return at + 2
		}
	}
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if n, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID, e.HasID = n, true
			}
		case "data":
			if e.HasData {
				e.Data = append(append(append([]byte(nil), e.Data...), '\n'), value...)
			} else {
				e.Data, e.HasData = value, true
			}
		}
	}
	return e
}
