// Package resumer allows an evicted batch call to continue where it stopped.
//
// A batch call expects one whole answer. A truncated whole answer can't be used,
// whereas a truncated stream can be resumed. Therefore the host that makes the
// exchange requests a stream from the engine, and an Assembler assembles its
// events into the answer that the caller expects. On an eviction the State of the
// Assembler is returned with the outcome and is passed to the next attempt, which
// requests only the remaining tokens from the engine.
//
// Invariants: an assembled answer has the content that the engine would have
// returned as a whole answer. A state is extended only by events that the engine
// sent for the same request, starting at the token at which the state ends.
package resumer

import (
	"encoding/json"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/rotisserie/eris"
)

// MaxState bounds the answer in a State, in bytes. If the answer is longer, no
// state is kept, and the call starts over after an eviction.
const MaxState = 256 << 10

// unstreamableFields are request fields with which a streamed answer differs from
// a whole answer, or can't be resumed.
var unstreamableFields = []string{"logprobs", "top_logprobs", "best_of", "echo", "tools", "functions", "audio", "modalities"}

// StreamBody returns a request body that requests the answer to r as a stream. It
// returns false if r can't be streamed, or the caller requested a stream itself.
func StreamBody(r requester.Request) ([]byte, bool) {
	if r.Stream || (r.Path != requester.PathChat && r.Path != requester.PathCompletions) {
		return nil, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(r.Body, &fields) != nil || fields == nil || !isStreamable(fields) {
		return nil, false
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := json.Marshal(fields)
	return body, err == nil
}

// isStreamable reports whether the answer to a request with these fields can be
// assembled from a stream.
func isStreamable(fields map[string]json.RawMessage) bool {
	for _, name := range unstreamableFields {
		if _, ok := fields[name]; ok {
			return false
		}
	}
	for name, only := range map[string]string{"stream": "false", "n": "1"} {
		if v, ok := fields[name]; ok && string(v) != only && string(v) != "null" {
			return false
		}
	}
	return true
}

// EventError reports that an event of a stream can't be decoded as a JSON object.
type EventError struct {
	Event string
	Err   error
}

func (e *EventError) Error() string { return "event " + e.Event + ": " + e.Err.Error() }

func (e *EventError) Unwrap() error { return e.Err }

// errNoChoice reports that a stream contained no event with a choice.
var errNoChoice = eris.New("the stream contained no choice")
