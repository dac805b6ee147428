// Package prefixer hashes the prefixes of the prompts of model calls.
//
// The hashes are the identifiers that engines use for the blocks of their prefix cache.
// Calls that share them are best run where the blocks are cached, and if a prefix crashes
// engines, it does so in every call that begins with it.
package prefixer

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A prompt is hashed after every prefixBlockBytes bytes, at most maxPrefixes times.
const (
	prefixBlockBytes = 64
	maxPrefixes      = 256
)

// Prompt holds the fields of a model call's body that make up its prompt.
type Prompt struct {
	Messages []Message       `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// Message is one message of a chat. Content is a string or a list of content parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Hashes returns the hashes of successively longer prefixes of the prompt: of the model,
// a zero byte and the prefix.
func (p Prompt) Hashes(model string) []uint64 { return hashes(model, p.text()) }

func hashes(model, prompt string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a Digest never returns an error.
	_, _ = d.WriteString(model + "\x00")
	out := make([]uint64, 0, min(len(prompt)/prefixBlockBytes, maxPrefixes))
	for len(prompt) >= prefixBlockBytes && len(out) < maxPrefixes {
		_, _ = d.WriteString(prompt[:prefixBlockBytes])
		out = append(out, d.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return out
}

// text returns the text from which the hashes are made. It must equal the text from which
// the engines make theirs. For a chat, each message is rendered as
// "ROLE: CONTENT" and a line feed. Parts without a text are left out, and the input
// of an embeddings call has no text.
func (p Prompt) text() string {
	if len(p.Messages) == 0 {
		return contentText(p.Prompt)
	}
	var b strings.Builder
	for _, x := range p.Messages {
		b.WriteString(x.Role + ": " + contentText(x.Content) + "\n")
	}
	return b.String()
}

// contentText returns the text of raw: a JSON string, or the concatenated texts
// of a list of strings or content parts. It returns "" for any other value.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return ""
	}
	var b strings.Builder
	for _, r := range list {
		b.WriteString(partText(r))
	}
	return b.String()
}

// partText returns the text of one element of a content list.
func partText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var part struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &part) != nil {
		return ""
	}
	return part.Text
}
