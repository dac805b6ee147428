package exchanger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 4 << 20

// maxBufferedBodyBytes bounds how much of a plain answer is buffered to read its
// usage. The usage of a longer answer is not read. A longer answer without a length
// or chunked encoding can't be checked either, and counts as truncated.
const maxBufferedBodyBytes = 4 << 20

// piece is a part of a body that may be passed to the sink, with the number of
// generated tokens in it.
type piece struct {
	data   []byte
	tokens int64
}

// parser splits a body into pieces and checks that it is complete.
type parser interface {
	// feed yields the pieces that data completes. It stops after the
	// first error.
	feed(data []byte) iter.Seq2[piece, error]
	// end is called after the end of the body as framed by HTTP. It returns an
	// error if the content shows that the body is truncated.
	end() error
	// complete reports whether the content itself has ended, so that a later
	// failure of the connection loses nothing.
	complete() bool
	// usage returns the usage that the answer reports or that was counted.
	usage() requester.Usage
}

// buffer holds bytes in memory of an account.
type buffer struct {
	memory *holder.Account
	bytes  []byte
}

// maxGrowth is by how much a buffer grows at most beyond what is needed, in bytes.
const maxGrowth = 64 << 10

// add appends data, or returns an error if there is no memory for it.
func (b *buffer) add(data []byte) error {
	length, before := len(b.bytes)+len(data), cap(b.bytes)
	if length > before {
		after := length + min(length, maxGrowth)
		if err := b.memory.Reserve(int64(after - before)); err != nil {
			return err
		}
		b.bytes = append(make([]byte, 0, after), b.bytes...)
	}
	b.bytes = append(b.bytes, data...)
	return nil
}

// mismatchError reports an event that belongs to another answer.
type mismatchError struct{ want, got string }

func (e *mismatchError) Error() string {
	return fmt.Sprintf("event of answer %q in answer %q", e.got, e.want)
}

// newParser returns the parser for the body of an answer to c.
func newParser(c *Call, r *fasthttp.Response, status int, memory *holder.Account) parser {
	if c.Stream && status == fasthttp.StatusOK {
		return &eventParser{buffer: buffer{memory: memory}, resumedFrom: c.ResumeFrom}
	}
	return &plainParser{body: buffer{memory: memory}, unframed: isUnframed(r)}
}

// isUnframed reports whether an answer has neither a length nor chunked encoding. Its body ends
// when the connection is closed, so the framing doesn't distinguish a complete body from a
// truncated one. ContentLength returns -2 in this case.
func isUnframed(r *fasthttp.Response) bool { return r.Header.ContentLength() == -2 }

// plainParser yields a body unchanged. An unframed body must be a complete JSON
// value.
type plainParser struct {
	unframed bool
	body     buffer
	// tooLarge is set if the body is longer than maxBufferedBodyBytes, or than the memory
	// for answers allows.
	tooLarge bool
}

func (p *plainParser) feed(data []byte) iter.Seq2[piece, error] {
	if !p.tooLarge && (len(p.body.bytes)+len(data) > maxBufferedBodyBytes || p.body.add(data) != nil) {
		p.body.bytes, p.tooLarge = nil, true
		p.body.memory.Release()
	}
	return func(yield func(piece, error) bool) { yield(piece{data: data}, nil) }
}

func (p *plainParser) end() error {
	if p.unframed && (p.tooLarge || !json.Valid(p.body.bytes)) {
		return eris.New("the answer has no length and is not a complete JSON value")
	}
	return nil
}

func (p *plainParser) complete() bool { return false }

func (p *plainParser) usage() requester.Usage {
	var body usageBody
	if p.tooLarge || json.Unmarshal(p.body.bytes, &body) != nil || body.Usage == nil {
		return requester.Usage{}
	}
	return body.Usage.usage()
}

// usageBody has the fields of answers and stream events that this package reads.
type usageBody struct {
	ID      string       `json:"id"`
	Usage   *serverUsage `json:"usage"`
	Choices []choice     `json:"choices"`
	// Error is what a server that fails in the middle of a stream sends in place of the rest.
	Error json.RawMessage `json:"error"`
}

// serverUsage is the usage as the backend server reports it.
type serverUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

func (u serverUsage) usage() requester.Usage {
	return requester.Usage{PromptTokens: u.Prompt, CompletionTokens: u.Completion}
}

// choice has the fields of a choice that contain generated text.
type choice struct {
	Text  string `json:"text"`
	Delta *struct {
		Content   string          `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	} `json:"delta"`
}

// tokens counts a choice with content as one token, since backend servers that stream
// send one event for each generated token.
func (c choice) tokens() int64 {
	if c.Text != "" || (c.Delta != nil && (c.Delta.Content != "" || len(c.Delta.ToolCalls) > 0)) {
		return 1
	}
	return 0
}

// eventParser yields whole server-sent events. Those of the OpenAI-compatible API have no numbers.
// An event belongs to the answer if its data is JSON without an error and, where it names an answer,
// names this one; the end marker must come last. Package sequencer has the rule for servers whose
// protocol numbers events.
type eventParser struct {
	// buffer has the bytes received that have not been yielded by an earlier call of
	// feed. pending is the part of buffer after the events that the current call has
	// yielded; at its end, pending is moved to the start of buffer.
	buffer        buffer
	pending       []byte
	answerID      string
	done          bool
	tokens        int64
	resumedFrom   int64
	reportedUsage *serverUsage
}

var (
	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

func (p *eventParser) feed(data []byte) iter.Seq2[piece, error] {
	return func(yield func(piece, error) bool) {
		if err := p.buffer.add(data); err != nil {
			yield(piece{}, err)
			return
		}
		p.pending = p.buffer.bytes
		for {
			i := eventIndex(p.pending)
			if i < 0 {
				break
			}
			event := p.pending[:i]
			n, err := p.parseEvent(event)
			if !yield(piece{data: event, tokens: n}, err) || err != nil {
				return
			}
			p.pending = p.pending[i:]
		}
		if len(p.pending) > maxEventBytes {
			yield(piece{}, eris.Errorf("an event is longer than %d bytes", maxEventBytes))
		}
		p.buffer.bytes = p.buffer.bytes[:copy(p.buffer.bytes, p.pending)]
		p.pending = p.buffer.bytes
	}
}

// eventIndex returns the index after the first whole event in b, or -1.
func eventIndex(b []byte) int {
	lf := bytes.Index(b, eventEnd)
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	}
	return -1
}

// parseEvent counts the tokens of one event and checks that the event belongs to
// this answer.
func (p *eventParser) parseEvent(event []byte) (int64, error) {
	var tokens int64
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok && !isEventLine(line) {
			return 0, eris.New("a line of the stream is not part of an event")
		}
		if !ok {
			continue
		}
		value = bytes.TrimSpace(value)
		if bytes.Equal(value, doneMarker) {
			p.done = true
			continue
		}
		n, err := p.parseData(value)
		if err != nil {
			return 0, err
		}
		tokens += n
	}
	p.tokens += tokens
	return tokens, nil
}

// isEventLine reports whether a line without data may be part of an event: a blank line, a
// comment, or another field of events.
func isEventLine(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	switch string(name) {
	case "", "event", "id", "retry":
		return true
	}
	return false
}

// parseData parses the value of one data line and returns its number of tokens.
func (p *eventParser) parseData(value []byte) (int64, error) {
	if p.done {
		return 0, eris.New("event received after [DONE]")
	}
	var body usageBody
	if err := json.Unmarshal(value, &body); err != nil {
		return 0, eris.Wrap(err, "an event is not valid JSON")
	}
	if len(body.Error) > 0 && string(body.Error) != "null" {
		return 0, eris.New("the server reports an error in place of an event")
	}
	if body.ID != "" {
		if p.answerID == "" {
			p.answerID = body.ID
		}
		if body.ID != p.answerID {
			return 0, &mismatchError{want: p.answerID, got: body.ID}
		}
	}
	if body.Usage != nil {
		p.reportedUsage = body.Usage
	}
	var tokens int64
	for _, c := range body.Choices {
		tokens += c.tokens()
	}
	return tokens, nil
}

func (p *eventParser) end() error {
	switch {
	case !p.done:
		return eris.New("the stream ended without [DONE]")
	case len(bytes.TrimSpace(p.pending)) > 0:
		return eris.New("the stream ended inside an event")
	}
	return nil
}

func (p *eventParser) complete() bool { return p.done && len(bytes.TrimSpace(p.pending)) == 0 }

func (p *eventParser) usage() requester.Usage {
	if p.reportedUsage != nil {
		return p.reportedUsage.usage()
	}
	return requester.Usage{CompletionTokens: p.resumedFrom + p.tokens}
}
