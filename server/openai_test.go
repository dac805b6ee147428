package server_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// newClient returns the official OpenAI client. Only its connections, base URL
// and key are set.
func newClient(h *harness, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://host/v1"), option.WithAPIKey(key), option.WithHTTPClient(h.client))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Where is the next clue?")},
	}
}

func TestOfficialClientChats(t *testing.T) {
	h, _ := newDispatchingHarness(t, nil)
	c := newClient(h, testKey)
	a, err := c.Chat.Completions.New(context.Background(), chatParams())
	require.NoError(t, err)
	require.Equal(t, "Ask at the fountain", a.Choices[0].Message.Content)
	require.EqualValues(t, 4, a.Usage.CompletionTokens)

	s := c.Chat.Completions.NewStreaming(context.Background(), chatParams())
	var text strings.Builder
	for s.Next() {
		text.WriteString(s.Current().Choices[0].Delta.Content)
	}
	require.NoError(t, s.Err())
	require.Equal(t, "Ask at the fountain", text.String())
}

func TestOfficialClientEmbedsAndListsModels(t *testing.T) {
	h, _ := newDispatchingHarness(t, nil)
	c := newClient(h, testKey)
	e, err := c.Embeddings.New(context.Background(), openai.EmbeddingNewParams{
		Model: "m", Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("pandal")},
	})
	require.NoError(t, err)
	require.Equal(t, []float64{0.5, 0.25}, e.Data[0].Embedding)
	m, err := c.Models.List(context.Background())
	require.NoError(t, err)
	require.Len(t, m.Data, 1)
	require.Equal(t, "m", m.Data[0].ID)
	one, err := c.Models.Get(context.Background(), "m")
	require.NoError(t, err)
	require.Equal(t, "m", one.ID)
}

func TestOfficialClientUnderstandsErrors(t *testing.T) {
	attempts := 0
	h, _ := newDispatchingHarness(t, func(o *server.Options) {
		o.Limiter = limiterFunc(func(string) server.Decision {
			attempts++
			if attempts == 1 {
				return server.Refused{RetryAfter: 5}
			}
			return server.Admitted{}
		})
	})
	c := newClient(h, testKey)
	_, err := c.Chat.Completions.New(context.Background(), chatParams())
	require.NoError(t, err, "the client retries after the delay that the refusal gives")
	require.Equal(t, 2, attempts)

	p := chatParams()
	p.Model = "unheard-of"
	_, err = c.Chat.Completions.New(context.Background(), p)
	requireCode(t, err, 404, "unknown-model")
	_, err = newClientWithWrongKey(h).Chat.Completions.New(context.Background(), chatParams())
	requireCode(t, err, 401, "key-invalid")
	h.viewer.set(func(s *coordinator.Snapshot) { s.PermittedUntil = 0 })
	_, err = c.Chat.Completions.New(context.Background(), chatParams(), option.WithMaxRetries(0))
	requireCode(t, err, 503, "host-not-permitted")
}

func newClientWithWrongKey(h *harness) *openai.Client {
	c := newClient(h, "wrong")
	return &c
}

func requireCode(t *testing.T, err error, status int, code string) {
	t.Helper()
	var e *openai.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, status, e.StatusCode)
	require.Equal(t, code, e.Code)
}
