package resumer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/resumer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	chat       = "/v1/chat/completions"
	completion = "/v1/completions"
)

// chunk returns the event with token i of a chat. The first event has the role.
func chunk(i int, text string) string {
	role := ""
	if i == 0 {
		role = `"role":"assistant",`
	}
	return fmt.Sprintf(`data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{%s"content":%q},"finish_reason":null}],"usage":null}`+"\n\n", role, text)
}

// end is the last events of a chat: the finish reason, the usage and [DONE].
const end = `data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"id":"c1","object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}` + "\n\ndata: [DONE]\n\n"

// An answer assembled across evictions at any tokens must equal the whole answer.
func TestAnswerIsTheSameWhereverItWasEvicted(t *testing.T) {
	words := []string{"the ", "gate ", "is ", "open"}
	want := `{"id":"c1","object":"chat.completion","created":7,"model":"m",` +
		`"choices":[{"index":0,"message":{"role":"assistant","content":"the gate is open"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`
	rapid.Check(t, func(rt *rapid.T) {
		a, err := resumer.NewAssembler(nil)
		require.NoError(rt, err)
		for i, w := range words {
			require.EqualValues(rt, i, a.Tokens())
			require.NoError(rt, a.Write([]byte(chunk(i, w)), 1))
			if rapid.Bool().Draw(rt, "evicted") {
				a, err = resumer.NewAssembler(a.State())
				require.NoError(rt, err)
			}
		}
		require.NoError(rt, a.Write([]byte(end), 0))
		got, err := a.Answer()
		require.NoError(rt, err)
		require.JSONEq(rt, want, string(got))
	})
}

func TestCompletionsAreTextOfOneChoice(t *testing.T) {
	a, err := resumer.NewAssembler(nil)
	require.NoError(t, err)
	for _, w := range []string{"a", "b"} {
		e := fmt.Sprintf(`data: {"object":"text_completion","choices":[{"index":0,"text":%q,"finish_reason":null}]}`+"\r\n\r\n", w)
		require.NoError(t, a.Write([]byte(e), 1))
	}
	got, err := a.Answer()
	require.NoError(t, err)
	require.JSONEq(t, `{"object":"text_completion","choices":[{"index":0,"text":"ab","finish_reason":null}]}`, string(got))
}

func TestStateIsNilWithoutResumableTokens(t *testing.T) {
	a, err := resumer.NewAssembler(nil)
	require.NoError(t, err)
	require.Nil(t, a.State())
	_, err = a.Answer()
	require.Error(t, err)
	require.NoError(t, a.Write([]byte(chunk(0, strings.Repeat("x", resumer.MaxState))), 1))
	require.Nil(t, a.State())
	var e *resumer.EventError
	require.ErrorAs(t, a.Write([]byte("data: {broken\n\n"), 0), &e)
	_, err = resumer.NewAssembler([]byte("no state"))
	require.Error(t, err)
}

// Requests whose streamed answer differs from the whole answer must not be
// streamed.
func TestRequestIsStreamedOnlyIfItsAnswerIsUnchanged(t *testing.T) {
	for body, want := range map[string]bool{
		`{"model":"m","messages":[]}`:                 true,
		`{"model":"m","messages":[],"stream":false}`:  true,
		`{"model":"m","messages":[],"n":1}`:           true,
		`{"model":"m","messages":[],"n":2}`:           false,
		`{"model":"m","messages":[],"logprobs":true}`: false,
		`{"model":"m","messages":[],"tools":[]}`:      false,
		`{"model":"m","messages":[],"stream":true}`:   false,
		`[]`: false,
		``:   false,
	} {
		got, ok := resumer.StreamBody(requester.Request{Path: chat, Body: []byte(body)})
		require.Equal(t, want, ok, body)
		if !ok {
			continue
		}
		var fields map[string]any
		require.NoError(t, json.Unmarshal(got, &fields))
		require.Equal(t, true, fields["stream"])
		require.Equal(t, "m", fields["model"])
	}
	_, ok := resumer.StreamBody(requester.Request{Path: "/v1/embeddings", Body: []byte(`{}`)})
	require.False(t, ok)
	_, ok = resumer.StreamBody(requester.Request{Path: completion, Body: []byte(`{}`), Stream: true})
	require.False(t, ok)
}
