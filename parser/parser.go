// Package parser reads a batch input, which has one request per line, and
// validates each line.
//
// It keeps one line at a time in memory, and about 8 to 16 bytes per custom_id.
// An invalid line is reported as a *submitter.BadLineError, after which the
// Reader must not be used.
package parser

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/submitter"
)

// Line is one item of the input in its JSON form.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Body has the fields of an item's body that are validated or used. All others
// are ignored.
type Body struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int64  `json:"max_tokens"`
}

// Limits are the maximum number of items in an input, and the maximum length of
// a line in bytes, including its line ending.
type Limits struct {
	MaxItems int64
	MaxLine  int
}

// bufferBytes is the size of the read buffer.
const bufferBytes = 64 << 10

// maxCustomID is the maximum length of a custom_id in bytes.
const maxCustomID = 512

// Reader reads and validates an input line by line. It is not safe for concurrent
// use.
type Reader struct {
	in       *bufio.Reader
	endpoint string
	limits   Limits
	number   int64
	items    int64
	seen     seenSet
}

// New returns a Reader of the input r. If endpoint is not empty, it must be the
// URL of every item.
func New(r io.Reader, endpoint string, l Limits) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), endpoint: endpoint, limits: l}
}

// Items returns the number of items read so far.
func (r *Reader) Items() int64 { return r.items }

// Next returns the next line with its line ending, or io.EOF at the end. The
// result item reports whether the line is an item: blank lines are returned too,
// but are not items.
func (r *Reader) Next() (raw []byte, item bool, err error) {
	raw, err = r.read()
	if err != nil {
		return nil, false, err
	}
	r.number++
	trimmed := bytes.TrimSpace(raw)
	if len(trimmed) == 0 {
		return raw, false, nil
	}
	r.items++
	if r.items > r.limits.MaxItems {
		return nil, false, r.lineError("", fmt.Sprintf("more than %d items", r.limits.MaxItems))
	}
	return raw, true, r.check(trimmed)
}

// read returns the bytes through the next line ending, or to the end of the
// input.
func (r *Reader) read() ([]byte, error) {
	var out []byte
	for {
		part, err := r.in.ReadSlice('\n')
		out = append(out, part...)
		switch {
		case len(out) > r.limits.MaxLine:
			r.number++
			return nil, r.lineError("", fmt.Sprintf("longer than %d bytes", r.limits.MaxLine))
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(out) > 0:
			return out, nil
		default:
			return out, err
		}
	}
}

func (r *Reader) lineError(field, reason string) error {
	return &submitter.BadLineError{Line: r.number, Field: field, Reason: reason}
}

func (r *Reader) check(raw []byte) error {
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		return r.jsonError("", err)
	}
	switch {
	case l.CustomID == "":
		return r.lineError("custom_id", "missing")
	case len(l.CustomID) > maxCustomID:
		return r.lineError("custom_id", fmt.Sprintf("longer than %d bytes", maxCustomID))
	case l.Method != http.MethodPost:
		return r.lineError("method", "must be POST")
	case l.URL == "":
		return r.lineError("url", "missing")
	case r.endpoint != "" && l.URL != r.endpoint:
		return r.lineError("url", fmt.Sprintf("must be the job's endpoint %q", r.endpoint))
	case len(l.Body) == 0 || l.Body[0] != '{':
		return r.lineError("body", "must be an object")
	}
	var b Body
	if err := json.Unmarshal(l.Body, &b); err != nil {
		return r.jsonError("body", err)
	}
	switch {
	case b.Model == "":
		return r.lineError("body.model", "missing")
	case b.Stream:
		return r.lineError("body.stream", "items can't be streamed")
	case !r.seen.add(l.CustomID):
		return r.lineError("custom_id", fmt.Sprintf("%q occurs twice", l.CustomID))
	}
	return nil
}

// jsonError converts an error of encoding/json to a line error that names the
// offending field.
func (r *Reader) jsonError(parent string, err error) error {
	var t *json.UnmarshalTypeError
	if !errors.As(err, &t) {
		return r.lineError(parent, "no JSON object: "+err.Error())
	}
	field := strings.Trim(parent+"."+t.Field, ".")
	return r.lineError(field, fmt.Sprintf("is a %s, must be a %s", t.Value, t.Type))
}

// seenSet detects repeated names. It is a hash table with open addressing that
// stores only the 64-bit hash of each name, which takes about 8 to 16 bytes per
// name; 0 marks a free slot.
type seenSet struct {
	slots []uint64
	used  int
}

// add adds name and returns false if it was already there.
func (s *seenSet) add(name string) bool {
	if 2*s.used >= len(s.slots) {
		s.grow()
	}
	if !s.insert(max(xxhash.Sum64String(name), 1)) {
		return false
	}
	s.used++
	return true
}

func (s *seenSet) insert(h uint64) bool {
	mask := uint64(len(s.slots) - 1)
	for i := h & mask; ; i = (i + 1) & mask {
		switch s.slots[i] {
		case 0:
			s.slots[i] = h
			return true
		case h:
			return false
		}
	}
}

func (s *seenSet) grow() {
	old := s.slots
	s.slots = make([]uint64, max(1024, 2*len(old)))
	for _, h := range old {
		if h != 0 {
			s.insert(h)
		}
	}
}
