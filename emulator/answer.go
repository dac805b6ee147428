package emulator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// embeddingSize is the number of components of an embedding.
const embeddingSize = 8

// response is the body of a complete answer, or one event of a streamed answer.
type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type embeddings struct {
	Object string      `json:"object"`
	Model  string      `json:"model"`
	Data   []embedding `json:"data"`
	Usage  usage       `json:"usage"`
}

type embedding struct {
	Object    string    `json:"object"`
	Index     int       `json:"index"`
	Embedding []float64 `json:"embedding"`
}

// usage returns the token counts of the complete answer. For a resumed answer
// they include the tokens before the resume point.
func (c *completion) usage() usage {
	p := PromptTokens(c.prompt)
	return usage{PromptTokens: p, CompletionTokens: c.length, TotalTokens: p + c.length}
}

// responseBody returns the body of the complete answer. A resumed answer
// contains only the text from the resume point on.
func (c *completion) responseBody() any {
	if c.object == "embedding" {
		return c.embedding()
	}
	text := textRange(c.seed, c.request.ResumeFrom, c.length)
	reason := "length"
	u := c.usage()
	out := choice{FinishReason: &reason}
	if c.object == "chat.completion" {
		out.Message = &message{Role: "assistant", Content: text}
	} else {
		out.Text = &text
	}
	return response{ID: c.id, Object: c.object, Model: c.request.Model, Choices: []choice{out}, Usage: &u}
}

// chunk returns one event of a streamed answer. reason is the finish reason; it is
// nil in all events but the one that ends the answer.
func (c *completion) chunk(text string, reason *string) response {
	out := choice{FinishReason: reason}
	object := c.object
	if object == "chat.completion" {
		object = "chat.completion.chunk"
		out.Delta = &message{Role: "assistant", Content: text}
	} else {
		out.Text = &text
	}
	return response{ID: c.id, Object: object, Model: c.request.Model, Choices: []choice{out}}
}

// embedding returns an embedding that depends only on the seed. Its components
// lie between -1 and 1.
func (c *completion) embedding() embeddings {
	v := make([]float64, embeddingSize)
	for i := range v {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], c.seed)
		b[8] = byte(i)
		v[i] = float64(xxhash.Sum64(b[:])>>11)/(1<<52) - 1
	}
	p := PromptTokens(c.prompt)
	return embeddings{
		Object: "list",
		Model:  c.request.Model,
		Data:   []embedding{{Object: "embedding", Embedding: v}},
		Usage:  usage{PromptTokens: p, TotalTokens: p},
	}
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (e *Engine) handleModels(q *fasthttp.RequestCtx) {
	e.mu.Lock()
	names := e.models.names()
	e.mu.Unlock()
	l := modelList{Object: "list", Data: make([]modelItem, len(names))}
	for i, n := range names {
		l.Data[i] = modelItem{ID: n, Object: "model", OwnedBy: "standin"}
	}
	respondJSON(q, l)
}
