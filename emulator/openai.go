package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// apiRequest has the fields of a request of the OpenAI HTTP API that the engine
// uses.
type apiRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt json.RawMessage `json:"prompt"`
	Input  json.RawMessage `json:"input"`
	Stream bool            `json:"stream"`
	// StreamOptions requests an event with the usage at the end of the stream.
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	// ResumeFrom is the index of the token at which the answer starts. It is not a
	// part of the OpenAI API.
	ResumeFrom int `json:"resume_from"`
}

// jsonText returns the value of a JSON string, or the concatenated texts of a
// list of strings or content parts. Other JSON is returned unchanged.
func jsonText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var all []json.RawMessage
	if json.Unmarshal(raw, &all) != nil {
		return string(raw)
	}
	var b strings.Builder
	for _, r := range all {
		var part struct {
			Text string `json:"text"`
		}
		if json.Unmarshal(r, &s) == nil {
			b.WriteString(s)
		} else if json.Unmarshal(r, &part) == nil {
			b.WriteString(part.Text)
		}
	}
	return b.String()
}

// prompt returns the text that determines the answer. For a chat it has each
// message as "ROLE: CONTENT" and a line feed.
func (r *apiRequest) prompt() string {
	switch {
	case len(r.Messages) > 0:
		var b strings.Builder
		for _, m := range r.Messages {
			b.WriteString(m.Role + ": " + jsonText(m.Content) + "\n")
		}
		return b.String()
	case r.Prompt != nil:
		return jsonText(r.Prompt)
	}
	return jsonText(r.Input)
}

// Prompt returns the prompt that the engine derives from a request body, for use
// with Text. It is empty if the body is not a valid request.
func Prompt(body []byte) string {
	var r apiRequest
	if json.Unmarshal(body, &r) != nil {
		return ""
	}
	return r.prompt()
}

// respondAPIError responds with an error in the format of the OpenAI API.
func respondAPIError(q *fasthttp.RequestCtx, status int, code, message string) {
	type details struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	respondJSON(q, struct {
		Error details `json:"error"`
	}{details{Message: message, Type: "invalid_request_error", Code: code}})
	q.SetStatusCode(status)
}

// completion is a call of the API that is being answered.
type completion struct {
	engine   *Engine
	id       string
	object   string
	request  apiRequest
	prompt   string
	seed     uint64
	length   int
	sequence *sequence
	callID   string
}

// handleModel answers a call of the API. It calls stop when the call ends, for a
// stream after handleModel has returned.
func (e *Engine) handleModel(ctx context.Context, stop func(), q *fasthttp.RequestCtx, path string) {
	c, ok := e.newCompletion(q, path)
	if !ok {
		stop()
		return
	}
	e.requests.recordStart(c.callID)
	if !e.batch.add(c.sequence) {
		stop()
		q.Response.Header.Set("Retry-After", "1")
		respondAPIError(q, fasthttp.StatusTooManyRequests, "queue-full", "too many calls wait")
		return
	}
	q.Response.Header.Set(HeaderResumedFrom, itoa(c.request.ResumeFrom))
	if c.request.Stream && c.object != "embedding" {
		c.stream(ctx, stop, q)
		return
	}
	defer stop()
	if !c.waitDone(ctx) {
		cutCall(q)
		return
	}
	e.requests.recordFinish(c.callID)
	if !e.applyResponseCut(q) {
		respondJSON(q, c.responseBody())
	}
}

// newCompletion validates a request. If the request is invalid, it responds with
// an error and returns false.
func (e *Engine) newCompletion(q *fasthttp.RequestCtx, path string) (*completion, bool) {
	c := &completion{engine: e}
	prefix := ""
	switch path {
	case "/v1/chat/completions":
		c.object, prefix = "chat.completion", "chatcmpl-"
	case "/v1/completions":
		c.object, prefix = "text_completion", "cmpl-"
	case "/v1/embeddings":
		c.object, prefix = "embedding", "embd-"
	default:
		respondAPIError(q, fasthttp.StatusNotFound, "unknown-path", path)
		return nil, false
	}
	if err := json.Unmarshal(q.PostBody(), &c.request); err != nil {
		respondAPIError(q, fasthttp.StatusBadRequest, "invalid-json", err.Error())
		return nil, false
	}
	if c.request.ResumeFrom < 0 {
		respondAPIError(q, fasthttp.StatusBadRequest, "invalid-resume", "resume_from is negative")
		return nil, false
	}
	if !e.hasModel(c.request.Model) {
		respondAPIError(q, fasthttp.StatusNotFound, "model-not-found", "model "+c.request.Model+" is not loaded")
		return nil, false
	}
	c.id = string(q.Request.Header.Peek(HeaderRequestID))
	if c.id == "" {
		c.id = prefix + uuid.NewString()
	}
	c.callID = callID(q)
	c.prompt = c.request.prompt()
	c.seed = seed(c.request.Model, c.prompt)
	c.length = c.maxTokens()
	c.sequence = newSequence(c.id, c.request.Model, c.prompt, c.request.ResumeFrom, c.length)
	return c, true
}

// maxTokens returns the length of the answer that is requested, in tokens.
func (c *completion) maxTokens() int {
	switch {
	case c.object == "embedding":
		return 0
	case c.request.MaxCompletionTokens != nil:
		return max(*c.request.MaxCompletionTokens, 0)
	case c.request.MaxTokens != nil:
		return max(*c.request.MaxTokens, 0)
	}
	return c.engine.options.MaxTokens
}

func (e *Engine) hasModel(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.models.versions[name]
	return ok
}

// waitDone waits until the answer is complete. It returns false if the sequence
// was aborted, or aborts it and returns false if ctx is done.
func (c *completion) waitDone(ctx context.Context) bool {
	for {
		s := c.engine.batch.state(c.sequence)
		if s.ended {
			return !s.aborted
		}
		select {
		case <-c.sequence.progress:
		case <-ctx.Done():
			c.engine.batch.remove(c.sequence)
			return false
		}
	}
}

// stream responds with server-sent events while the batch generates tokens.
func (c *completion) stream(ctx context.Context, stop func(), q *fasthttp.RequestCtx) {
	cut := c.engine.takeCut(CutAfterBody, CutMidAnswer)
	if cut == CutAfterBody {
		defer stop()
		if c.waitDone(ctx) {
			c.engine.requests.recordFinish(c.callID)
		}
		cutCall(q)
		return
	}
	peer, _ := q.Conn().(*faultConn)
	faults := c.engine.Faults()
	q.SetContentType("text/event-stream")
	q.Response.Header.Set("Cache-Control", "no-cache")
	q.Response.ImmediateHeaderFlush = true
	c.engine.goroutines.Add(1)
	q.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer c.engine.goroutines.Done()
		// The sequence must be removed from the batch before the connection is
		// read again.
		defer stop()
		defer c.engine.batch.remove(c.sequence)
		s := streamWriter{completion: c, writer: w, truncateAt: faults.TruncateAfter, stallAt: faults.StallAfter}
		if cut == CutMidAnswer {
			s.cutAt = c.request.ResumeFrom + (c.length-c.request.ResumeFrom)/2
		}
		if !s.run(ctx, cut == CutMidAnswer) && peer != nil {
			peer.cut()
		}
	})
}

// streamWriter writes the events of one answer. The fields truncateAt, stallAt
// and cutAt are the numbers of tokens after which the faults take effect, counted
// from the start of the complete answer.
type streamWriter struct {
	*completion
	writer     *bufio.Writer
	truncateAt int
	stallAt    int
	cutAt      int
}

// run writes the stream. It returns false if the connection must be closed. If
// cutting is true, this is the case at token cutAt.
func (s *streamWriter) run(ctx context.Context, cutting bool) bool {
	next := s.request.ResumeFrom
	for {
		state := s.engine.batch.state(s.sequence)
		for ; next < state.generated; next++ {
			if cutting && next >= s.cutAt {
				return false
			}
			if s.truncateAt > 0 && next >= s.truncateAt {
				return true
			}
			if s.stallAt > 0 && next >= s.stallAt {
				<-ctx.Done()
				return false
			}
			if !s.writeEvent(s.chunk(tokenAt(s.seed, next), nil)) {
				return false
			}
		}
		if state.ended {
			return !state.aborted && s.writeEnd()
		}
		select {
		case <-s.sequence.progress:
		case <-ctx.Done():
			return false
		}
	}
}

// writeEnd writes the final events.
func (s *streamWriter) writeEnd() bool {
	s.engine.requests.recordFinish(s.callID)
	reason := "length"
	ok := s.writeEvent(s.chunk("", &reason))
	if ok && s.request.StreamOptions.IncludeUsage {
		last := s.chunk("", nil)
		last.Choices = []choice{}
		u := s.usage()
		last.Usage = &u
		ok = s.writeEvent(last)
	}
	if !ok {
		return false
	}
	_, err := s.writer.WriteString("data: [DONE]\n\n")
	return err == nil && s.writer.Flush() == nil
}

// writeEvent writes and flushes one event.
func (s *streamWriter) writeEvent(v response) bool {
	b, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = s.writer.WriteString("data: ")
	_, _ = s.writer.Write(b)
	_, _ = s.writer.WriteString("\n\n")
	return s.writer.Flush() == nil
}
