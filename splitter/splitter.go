// Package splitter splits a stream of server-sent events into whole events.
//
// It keeps the raw bytes of each event, so that they can be passed on unchanged, and
// bounds the size of an event. Only the fields id and data are parsed.
package splitter

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent is the maximum size of an event, in bytes.
const maxEvent = 512 << 10

// Event is one whole event.
type Event struct {
	// Raw is the event as it was sent, including the blank line that ends it.
	Raw []byte
	// ID is the value of the event's id field, from 1. HasID is false if the event has no such
	// number, or none that all readers agree on: it has several ids, a carriage return that
	// some readers take for the end of a line, or a byte order mark that some leave out.
	ID    int64
	HasID bool
	// Data is the event's data lines joined by line feeds; HasData is false if the
	// event has none.
	Data    []byte
	HasData bool
	// Filler is set if the event consists of comments and reconnection times only, for all
	// readers.
	Filler bool
}

// Splitter buffers the bytes of an event that is not complete yet. The zero value is
// ready to use. A Splitter is not safe for concurrent use.
type Splitter struct {
	// Reserve is called before the Splitter takes n bytes more of memory, which it keeps.
	// If it returns an error, Feed does too. It may be nil.
	Reserve func(n int64) error

	pending []byte
	// searched is the length of the prefix of pending in which no event ends.
	searched int
}

// Feed adds bytes of the stream and calls each for every event that they complete. The
// bytes of an event are valid only until each returns. Feed returns the first error
// of each or Reserve, or a *TooLongError if the unfinished event exceeds maxEvent.
func (s *Splitter) Feed(p []byte, each func(Event) error) error {
	if err := s.grow(len(s.pending) + len(p)); err != nil {
		return err
	}
	s.pending = append(s.pending, p...)
	used := 0
	for {
		end := eventLength(s.pending[used:], s.searched)
		if end < 0 {
			break
		}
		raw := s.pending[used : used+end]
		used += end
		s.searched = 0
		if err := each(parse(raw)); err != nil {
			return err
		}
	}
	if used > 0 {
		s.pending = append(s.pending[:0], s.pending[used:]...)
	}
	// The blank line that ends the event may start within the last bytes.
	s.searched = max(0, len(s.pending)-maxTerminator)
	if len(s.pending) > maxEvent {
		return &TooLongError{Bytes: len(s.pending)}
	}
	return nil
}

// maxGrowth is by how much the buffer grows at most beyond what is needed, in bytes.
const maxGrowth = 32 << 10

// grow makes room for length bytes.
func (s *Splitter) grow(length int) error {
	before := cap(s.pending)
	if length <= before {
		return nil
	}
	after := length + min(length, maxGrowth)
	if s.Reserve != nil {
		if err := s.Reserve(int64(after - before)); err != nil {
			return err
		}
	}
	s.pending = append(make([]byte, 0, after), s.pending...)
	return nil
}

// readSize is the size of the buffer for one read, in bytes.
const readSize = 4 << 10

// PartialError reports that a stream ended within an event.
type PartialError struct{}

func (*PartialError) Error() string { return "stream ended within an event" }

// Read reads a stream to its end. It calls onRead after each read that returned bytes,
// each for every event, and reserve before it takes more memory. It returns nil only if the
// stream ended with io.EOF and after a whole event.
func Read(r io.Reader, reserve func(n int64) error, onRead func(), each func(Event) error) error {
	s := Splitter{Reserve: reserve}
	buffer := make([]byte, readSize)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			onRead()
			if feedErr := s.Feed(buffer[:n], each); feedErr != nil {
				return feedErr
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

// Partial reports whether an event has begun but not ended.
func (s *Splitter) Partial() bool { return len(bytes.TrimSpace(s.pending)) > 0 }

// TooLongError reports that an event exceeds the maximum size. Bytes is its size so
// far.
type TooLongError struct{ Bytes int }

func (e *TooLongError) Error() string {
	return "event too long: at least " + strconv.Itoa(e.Bytes) + " bytes"
}

// maxTerminator is the length of the longest event terminator: a line end and a blank
// line, both with CRLF.
const maxTerminator = 4

// eventLength returns the length of the first event in p including its blank line, or
// -1 if p has no whole event. The caller guarantees that no event ends before from.
func eventLength(p []byte, from int) int {
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

// byteOrderMark may precede a stream. Servers do not send it.
var byteOrderMark = []byte("\ufeff")

// parse returns the event with these raw bytes. Lines of other fields are ignored.
func parse(raw []byte) Event {
	e := Event{Raw: raw, Filler: true}
	ids, ambiguous := 0, false
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if bytes.IndexByte(line, '\r') >= 0 || bytes.HasPrefix(line, byteOrderMark) {
			ambiguous = true
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) > 0 && string(name) != "retry" {
			e.Filler = false
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case string(name) == "id":
			ids++
			e.ID, e.HasID = parseID(value)
		case string(name) == "data" && e.HasData:
			e.Data = append(append(append([]byte(nil), e.Data...), '\n'), value...)
		case string(name) == "data":
			e.Data, e.HasData = value, true
		}
	}
	if ids > 1 || ambiguous {
		e.ID, e.HasID = 0, false
	}
	e.Filler = e.Filler && !ambiguous
	return e
}

// parseID returns the value of an id field if it is a positive decimal number as servers write
// it, without a sign or leading zeros.
func parseID(value []byte) (id int64, ok bool) {
	if len(value) == 0 || value[0] < '1' || value[0] > '9' {
		return 0, false
	}
	id, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return 0, false
	}
	return id, true
}
