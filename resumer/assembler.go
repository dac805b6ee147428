package resumer

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Values of the object field in the OpenAI API.
const (
	chatObject      = "chat.completion"
	chatChunkObject = "chat.completion.chunk"
)

// state is the encoded state of an Assembler.
type state struct {
	// Tokens is the number of tokens in Answer.
	Tokens int64 `cbor:"1,keyasint"`
	// Answer is the partial answer as JSON.
	Answer []byte `cbor:"2,keyasint"`
}

// Assembler assembles the answer of one call from stream events. It is not safe
// for concurrent use.
type Assembler struct {
	tokens int64
	answer map[string]any
	choice map[string]any
}

// NewAssembler returns an Assembler that continues from a State of an earlier
// attempt, or starts an empty answer if from is empty. It returns an error if from
// is not a valid State.
func NewAssembler(from []byte) (*Assembler, error) {
	a := &Assembler{answer: make(map[string]any), choice: make(map[string]any)}
	if len(from) == 0 {
		return a, nil
	}
	var s state
	if err := cbor.Unmarshal(from, &s); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}
	if err := decode(s.Answer, &a.answer); err != nil {
		return nil, eris.Wrap(err, "decode answer so far")
	}
	if choices, ok := a.answer["choices"].([]any); ok && len(choices) == 1 {
		a.choice, _ = choices[0].(map[string]any)
	}
	a.tokens = s.Tokens
	return a, nil
}

// Tokens returns the number of tokens in the answer, including those of earlier
// attempts.
func (a *Assembler) Tokens() int64 { return a.tokens }

// State returns the state from which the next attempt continues. It is nil if there
// are no tokens yet, or if the answer exceeds MaxState; the next attempt then
// starts over.
func (a *Assembler) State() []byte {
	if a.tokens == 0 {
		return nil
	}
	answer, err := a.Answer()
	if err != nil || len(answer) > MaxState {
		return nil
	}
	b, err := cbor.Marshal(state{Tokens: a.tokens, Answer: answer})
	if err != nil {
		return nil
	}
	return b
}

// Answer returns the assembled answer as JSON, or an error if no choice was
// received.
func (a *Assembler) Answer() ([]byte, error) {
	if len(a.choice) == 0 {
		return nil, errNoChoice
	}
	a.answer["choices"] = []any{a.choice}
	b, err := json.Marshal(a.answer)
	return b, eris.Wrap(err, "encode answer")
}

// Write adds whole events of the stream, which contain the given number of tokens.
// It returns an *EventError if an event can't be decoded.
func (a *Assembler) Write(piece []byte, tokens int64) error {
	for _, line := range bytes.Split(piece, []byte("\n")) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("data:"))
		data = bytes.TrimSpace(data)
		if !ok || len(data) == 0 || string(data) == "[DONE]" {
			continue
		}
		var event map[string]any
		if err := decode(data, &event); err != nil {
			return &EventError{Event: string(data), Err: err}
		}
		a.addEvent(event)
	}
	a.tokens += tokens
	return nil
}

// decode decodes JSON and preserves the notation of numbers.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return d.Decode(v)
}

// addEvent merges one event into the answer. A top-level field keeps its first
// value, except for usage, which takes the last.
func (a *Assembler) addEvent(event map[string]any) {
	for name, v := range event {
		switch name {
		case "choices":
			a.addChoices(v)
		case "usage":
			if v != nil {
				a.answer[name] = v
			}
		case "object":
			a.answer[name] = completeObjectType(v)
		default:
			if _, has := a.answer[name]; !has {
				a.answer[name] = v
			}
		}
	}
}

// completeObjectType converts the object type of a chunk to that of a whole answer.
func completeObjectType(v any) any {
	if v == chatChunkObject {
		return chatObject
	}
	return v
}

// addChoices merges the choices of an event. They all belong to one choice, since
// StreamBody excludes requests for several.
func (a *Assembler) addChoices(v any) {
	choices, _ := v.([]any)
	for _, c := range choices {
		choice, ok := c.(map[string]any)
		if !ok {
			continue
		}
		for name, value := range choice {
			a.addChoiceField(name, value)
		}
	}
}

// addChoiceField merges one field of a choice: it appends deltas and text, and
// replaces other fields by their last value that is not null.
func (a *Assembler) addChoiceField(name string, value any) {
	switch name {
	case "delta":
		delta, _ := value.(map[string]any)
		message, ok := a.choice["message"].(map[string]any)
		if !ok {
			message = make(map[string]any)
			a.choice["message"] = message
		}
		mergeText(message, delta)
	case "text":
		mergeText(a.choice, map[string]any{name: value})
	default:
		if _, has := a.choice[name]; !has || value != nil {
			a.choice[name] = value
		}
	}
}

// setOnceFields are text fields that contain an identifier or a kind and are
// replaced rather than appended to.
var setOnceFields = []string{"role", "id", "type"}

// mergeText appends the text fields of src to those of dst. Other fields of dst are
// replaced.
func mergeText(dst, src map[string]any) {
	for name, v := range src {
		added, isText := v.(string)
		existing, hasText := dst[name].(string)
		switch {
		case isText && hasText && !slices.Contains(setOnceFields, name):
			dst[name] = existing + added
		case v != nil || dst[name] == nil:
			dst[name] = v
		}
	}
}
