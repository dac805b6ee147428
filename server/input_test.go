package server_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/stretchr/testify/require"
)

func TestInvalidInputGetsClearErrorAndAffectsNoOther(t *testing.T) {
	calls := 0
	h := newHarness(t, doerFunc(func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		calls++
		return answerWith(`{"id":"ok"}`)(ctx, r, s)
	}), func(o *server.Options) { o.MaxBody = 4096 })
	for name, c := range map[string]struct {
		method, path, body string
		header             [2]string
		status             int
		code, param        string
		says               string
	}{
		"broken JSON":        {"POST", "/v1/chat/completions", "{\"model\":\"m\",\n \"messages\": [}", [2]string{}, 400, "invalid-json", "", "line 2"},
		"no object":          {"POST", "/v1/chat/completions", "[]", [2]string{}, 400, "invalid-json", "", "object"},
		"wrong type":         {"POST", "/v1/chat/completions", "{\"model\":\n7}", [2]string{}, 400, "invalid-field", "model", "line 2"},
		"nested wrong type":  {"POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":1}]}`, [2]string{}, 400, "invalid-field", "messages.role", "messages.role"},
		"no model":           {"POST", "/v1/chat/completions", `{"messages":[]}`, [2]string{}, 400, "missing-field", "model", "model"},
		"no messages":        {"POST", "/v1/chat/completions", `{"model":"m"}`, [2]string{}, 400, "missing-field", "messages", "messages"},
		"no input":           {"POST", "/v1/embeddings", `{"model":"m"}`, [2]string{}, 400, "missing-field", "input", "input"},
		"too long":           {"POST", "/v1/chat/completions", strings.Repeat(" ", 5000), [2]string{}, 413, "body-too-large", "", "4096"},
		"compressed":         {"POST", "/v1/chat/completions", chatBody, [2]string{"Content-Encoding", "gzip"}, 415, "unsupported-content-encoding", "", "compressed"},
		"long header":        {"GET", "/v1/models", "", [2]string{"X-Long", strings.Repeat("a", 20000)}, 431, "headers-too-large", "", "bytes"},
		"unknown path":       {"GET", "/v1/unknown", "", [2]string{}, 404, "unknown-path", "", ""},
		"wrong method":       {"GET", "/v1/chat/completions", "", [2]string{}, 405, "method-not-allowed", "", "POST"},
		"unknown model name": {"GET", "/v1/models/x", "", [2]string{}, 404, "unknown-model", "model", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.request(c.method, c.path, c.body)
			if c.header[0] != "" {
				r.Header.Set(c.header[0], c.header[1])
			}
			a := h.do(r)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.code, a.code)
			require.Equal(t, c.param, a.param)
			require.Contains(t, a.body, c.says)
			require.Equal(t, "true", a.header.Get("jackdawgate-not-run"))
			require.Equal(t, 200, h.do(h.request("POST", "/v1/chat/completions", chatBody)).status)
		})
	}
	require.Equal(t, 13, calls, "only the good requests ran")
}

func TestRequestWithoutValidKeyIsRefused(t *testing.T) {
	h := newHarness(t, answerWith("{}"), nil)
	for name, c := range map[string]struct{ authorization, code string }{
		"none":         {"", "key-missing"},
		"wrong":        {"Bearer wrong", "key-invalid"},
		"other scheme": {"Basic " + testKey, "key-invalid"},
		"bare":         {testKey, "key-invalid"},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.request("POST", "/v1/chat/completions", chatBody)
			r.Header.Set("Authorization", c.authorization)
			if c.authorization == "" {
				r.Header.Del("Authorization")
			}
			a := h.do(r)
			require.Equal(t, 401, a.status)
			require.Equal(t, c.code, a.code)
			require.Equal(t, "true", a.header.Get("jackdawgate-not-run"))
		})
	}
	open := h.request("GET", "/stock", "")
	open.Header.Del("Authorization")
	require.Equal(t, 200, h.do(open).status)
}
