package server

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/prefixer"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/valyala/fasthttp"
)

// modelBody holds the fields of a model call's body that this host reads. The
// body is passed to the Doer unchanged, with all its fields. Engines are the
// backend servers that run models.
type modelBody struct {
	Model               string             `json:"model"`
	Stream              bool               `json:"stream"`
	Messages            []prefixer.Message `json:"messages"`
	Prompt              json.RawMessage    `json:"prompt"`
	Input               json.RawMessage    `json:"input"`
	MaxTokens           int64              `json:"max_tokens"`
	MaxCompletionTokens int64              `json:"max_completion_tokens"`
}

// handleModel runs a call to a model.
func (s *Server) handleModel(ctx *fasthttp.RequestCtx) {
	a, ok := s.receiver.Admit(ctx, false, s.options.CallTimeout)
	if !ok {
		return
	}
	r, ok := s.readModelRequest(ctx, a)
	if !ok || !s.checkRate(ctx, a.Call) {
		s.guardian.End(a.Call)
		return
	}
	s.forwarder.Run(ctx, a.Call, r)
}

// readModelRequest reads and validates a model call. If it returns false, the
// error response has been written.
func (s *Server) readModelRequest(ctx *fasthttp.RequestCtx, a receiver.Admission) (requester.Request, bool) {
	body, ok := s.receiver.Body(ctx, a.Key, s.options.MaxBody)
	if !ok {
		return requester.Request{}, false
	}
	var m modelBody
	if e, ok := receiver.DecodeJSON(body, &m); !ok {
		answerer.Fail(ctx, e)
		return requester.Request{}, false
	}
	path := string(ctx.Path())
	if e, ok := m.validate(path); !ok {
		answerer.Fail(ctx, e)
		return requester.Request{}, false
	}
	if m.Stream && !ctx.Request.Header.IsHTTP11() {
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeMalformed, "stream", "a stream needs HTTP/1.1"))
		return requester.Request{}, false
	}
	r := s.newRequest(ctx, a, body)
	r.Path = path
	r.Model = m.Model
	r.Repeatable = true
	// Embeddings are never streamed; the field is ignored for them.
	r.Stream = m.Stream && path != requester.PathEmbeddings
	r.Prefix = prefixer.Prompt{Messages: m.Messages, Prompt: m.Prompt}.Hashes(m.Model)
	r.EstimatedTokens = m.estimateTokens(len(body))
	return r, true
}

// newRequest returns a request with the fields that all calls have in common.
// The handlers set the others.
func (s *Server) newRequest(ctx *fasthttp.RequestCtx, a receiver.Admission, body []byte) requester.Request {
	method := string(ctx.Method())
	return requester.Request{
		ID:          uuid.Must(uuid.NewV7()).String(),
		Workspace:   a.Call.Identity.Workspace,
		Class:       requester.Online,
		Method:      method,
		Headers:     receiver.ForwardHeaders(ctx),
		Body:        body,
		Timeout:     s.options.CallTimeout,
		Fingerprint: requester.NewFingerprint(method, string(ctx.Path()), body),
	}
}

// validate returns false and an error for the first required field that is
// missing. The model and the messages must not be empty either; a prompt or an
// input that is present may have any value.
func (m modelBody) validate(path string) (answerer.Error, bool) {
	missing := func(field string) (answerer.Error, bool) {
		return answerer.Invalid(answerer.CodeMissingField, field, "field %q is missing or empty", field), false
	}
	switch {
	case m.Model == "":
		return missing("model")
	case path == requester.PathChat && len(m.Messages) == 0:
		return missing("messages")
	case path == requester.PathCompletions && len(m.Prompt) == 0:
		return missing("prompt")
	case path == requester.PathEmbeddings && len(m.Input) == 0:
		return missing("input")
	}
	return answerer.Error{}, true
}

// Values for estimating the tokens of a call before it runs: bytesPerToken is the
// assumed number of bytes of the body for each prompt token, and
// defaultCompletionTokens is assumed for a call that sets no limit.
const (
	bytesPerToken           = 4
	defaultCompletionTokens = 256
)

// estimateTokens estimates the prompt and completion tokens of a call whose
// body has bodySize bytes.
func (m modelBody) estimateTokens(bodySize int) int64 {
	completion := max(m.MaxTokens, m.MaxCompletionTokens)
	if completion == 0 {
		completion = defaultCompletionTokens
	}
	return int64(bodySize/bytesPerToken) + completion
}
