package tallier

import (
	"encoding/binary"
	"encoding/json"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/rotisserie/eris"
)

// Kind is the kind of a record in a result segment.
type Kind uint8

const (
	// KindDone means that the item was answered successfully.
	KindDone Kind = iota + 1
	// KindFailed means that the item ended without a successful answer.
	KindFailed
	// KindSuspect means that a backend server crashed while running the item. It
	// is not a result of the item.
	KindSuspect
)

// Head is the fixed-size start of a record. A host that takes over a job reads
// only the heads of its records.
type Head struct {
	Kind  Kind
	Item  uint64
	Usage requester.Usage
	// LineBytes is the length of the line in the job's output or error file.
	LineBytes uint32
}

// HeadBytes is the length of an encoded Head.
const HeadBytes = 32

// Encode returns a record: h, with the length of line as its LineBytes, followed
// by line, which is the item's line in the output or error file. h.LineBytes is
// ignored.
func Encode(h Head, line []byte) []byte {
	b := make([]byte, 0, HeadBytes+len(line))
	b = append(b, byte(h.Kind), 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(line)))
	b = binary.LittleEndian.AppendUint64(b, h.Item)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Usage.PromptTokens))
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Usage.CompletionTokens))
	return append(b, line...)
}

// DecodeHead decodes the head of the record b. The rest of the record may be
// missing.
func DecodeHead(b []byte) (Head, error) {
	if len(b) < HeadBytes {
		return Head{}, eris.Errorf("decode result record: truncated to %d bytes", len(b))
	}
	return Head{
		Kind:      Kind(b[0]),
		LineBytes: binary.LittleEndian.Uint32(b[4:]),
		Item:      binary.LittleEndian.Uint64(b[8:]),
		Usage: requester.Usage{
			PromptTokens:     int64(binary.LittleEndian.Uint64(b[16:])),
			CompletionTokens: int64(binary.LittleEndian.Uint64(b[24:])),
		},
	}, nil
}

// OutputLine is one line of a job's output or error file.
type OutputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *OutputResponse `json:"response"`
	Error    *OutputError    `json:"error"`
}

// OutputResponse is the answer to an item.
type OutputResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// OutputError is the reason why an item failed.
type OutputError struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Attempts int    `json:"attempts"`
}

// NewOutputResponse returns the response of an OutputLine. A body that is not valid JSON
// is encoded as a JSON string.
func NewOutputResponse(status int, requestID string, body []byte) *OutputResponse {
	if !json.Valid(body) {
		text, err := json.Marshal(string(body))
		if err != nil {
			text = []byte("null")
		}
		body = text
	}
	return &OutputResponse{StatusCode: status, RequestID: requestID, Body: body}
}

// Encode returns the line as JSON, with a trailing newline.
func (l OutputLine) Encode() ([]byte, error) {
	b, err := json.Marshal(l)
	return append(b, '\n'), eris.Wrap(err, "encode output line")
}
