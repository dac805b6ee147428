package emulator_test

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/emulator"
)

// testTimeout is the time limit for events that tests wait for. It is much longer
// than they take.
const testTimeout = 10 * time.Second

// fixture is an engine that is being served, and a client that does not retry.
type fixture struct {
	*emulator.Engine
	address string
	client  *fasthttp.Client
}

// fastOptions returns options with short step times and delays.
func fastOptions() emulator.EngineOptions {
	return emulator.EngineOptions{BaseStepMicros: 500, CallStepMicros: 1, PrefillMicros: 1, LoadLag: 1, CacheEventLag: 1, OrderTime: 1}
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		ReadTimeout: testTimeout,
		RetryIfErr:  func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// serve serves an engine on a local port until the test ends.
func serve(t *testing.T, o emulator.EngineOptions) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := emulator.NewEngine(o)
	served := make(chan error, 1)
	go func() { served <- e.Serve(l) }()
	f := &fixture{Engine: e, address: l.Addr().String(), client: newClient()}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		require.NoError(t, e.Close())
		require.NoError(t, <-served)
	})
	return f
}

// response is a complete response.
type response struct {
	status int
	header *fasthttp.ResponseHeader
	body   string
}

func (f *fixture) send(method, path, body string, headers ...string) (response, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + f.address + path)
	q.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	if err := f.client.DoTimeout(q, p, testTimeout); err != nil {
		return response{}, err
	}
	h := &fasthttp.ResponseHeader{}
	p.Header.CopyTo(h)
	return response{status: p.StatusCode(), header: h, body: string(p.Body())}, nil
}

func (f *fixture) post(t *testing.T, path, body string, headers ...string) response {
	t.Helper()
	r, err := f.send("POST", path, body, headers...)
	require.NoError(t, err)
	return r
}

func (f *fixture) get(t *testing.T, path string, v any) {
	t.Helper()
	r, err := f.send("GET", path, "")
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, r.status, r.body)
	require.NoError(t, json.Unmarshal([]byte(r.body), v))
}

// chatBody returns the body of a chat completion with one message. The JSON in
// extraFields is inserted after max_tokens and must start with a comma.
func chatBody(content string, tokens int, extraFields string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d%s}`,
		emulator.DefaultModel, content, tokens, extraFields)
}

const chatPath = "/v1/chat/completions"

// apiResponse has the fields of a streamed event or complete answer that the
// tests use.
type apiResponse struct {
	Choices []struct {
		Text  string
		Delta struct{ Content string }
		// Message is present in complete answers only.
		Message struct{ Content string }
	}
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
}

// parseStream returns the concatenated text of a stream, its last event and
// whether it ended with [DONE].
func parseStream(t *testing.T, body string) (text string, last apiResponse, done bool) {
	t.Helper()
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			last = apiResponse{}
			require.NoError(t, json.Unmarshal([]byte(data), &last))
			for _, c := range last.Choices {
				text += c.Delta.Content + c.Text
			}
		}
	}
	return text, last, done
}
