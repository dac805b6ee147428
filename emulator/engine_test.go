package emulator_test

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/emulator"
)

func TestAnswersDependOnlyOnModelAndPrompt(t *testing.T) {
	f := serve(t, fastOptions())
	body := chatBody("which gate?", 12, "")
	want := emulator.Text(emulator.DefaultModel, emulator.Prompt([]byte(body)), 12)

	var whole apiResponse
	require.NoError(t, json.Unmarshal([]byte(f.post(t, chatPath, body).body), &whole))
	require.Equal(t, want, whole.Choices[0].Message.Content)
	require.Equal(t, 12, whole.Usage.CompletionTokens)

	r := f.post(t, chatPath, chatBody("which gate?", 12, `,"stream":true,"stream_options":{"include_usage":true}`), "X-Request-Id", "r1")
	text, last, done := parseStream(t, r.body)
	require.True(t, done)
	require.Equal(t, want, text)
	require.Equal(t, whole.Usage, last.Usage)
	require.Equal(t, "r1", string(r.header.Peek("X-Request-Id")))
	require.NotEqual(t, want, emulator.Text(emulator.DefaultModel, "user: another\n", 12))
}

func TestOfficialClient(t *testing.T) {
	f := serve(t, fastOptions())
	c := openai.NewClient(option.WithBaseURL("http://"+f.address+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	p := openai.ChatCompletionNewParams{
		Model:     emulator.DefaultModel,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hint")},
		MaxTokens: openai.Int(5),
	}
	want := emulator.Text(emulator.DefaultModel, "user: hint\n", 5)
	whole, err := c.Chat.Completions.New(t.Context(), p)
	require.NoError(t, err)
	require.Equal(t, want, whole.Choices[0].Message.Content)
	s := c.Chat.Completions.NewStreaming(t.Context(), p)
	text := ""
	for s.Next() {
		text += s.Current().Choices[0].Delta.Content
	}
	require.NoError(t, s.Err())
	require.Equal(t, want, text)
	e, err := c.Embeddings.New(t.Context(), openai.EmbeddingNewParams{
		Model: emulator.DefaultModel, Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("x")},
	})
	require.NoError(t, err)
	require.Len(t, e.Data[0].Embedding, 8)
	m, err := c.Models.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, emulator.DefaultModel, m.Data[0].ID)
}

func TestResumedAnswerStartsAtToken(t *testing.T) {
	o := fastOptions()
	o.BaseStepMicros = 5000
	f := serve(t, o)
	prompt := "user: long\n"
	start := time.Now()
	r := f.post(t, chatPath, chatBody("long", 400, `,"stream":true,"resume_from":395`))
	require.Less(t, time.Since(start), time.Second, "the 395 earlier tokens must not be generated again")
	text, _, done := parseStream(t, r.body)
	require.True(t, done)
	require.Equal(t, "395", string(r.header.Peek("Resumed-From")))
	whole := emulator.Text(emulator.DefaultModel, prompt, 400)
	require.True(t, strings.HasSuffix(whole, text))
	require.Len(t, strings.Fields(text), 5)
}

func TestSlotsAreAssignedInOrderOfArrival(t *testing.T) {
	o := fastOptions()
	o.Slots, o.MaxWaiting = 1, 1
	f := serve(t, o)
	first := dialStream(t, f.address, chatBody("first", 1_000_000, `,"stream":true`))
	second := dialStream(t, f.address, chatBody("second", 3, `,"stream":true`))
	f.waitForLoad(t, 1, 1)
	r := f.post(t, chatPath, chatBody("third", 3, ""))
	require.Equal(t, fasthttp.StatusTooManyRequests, r.status)
	require.NoError(t, first.Close())
	require.Contains(t, readUntil(t, second, "[DONE]"), "[DONE]")
	f.waitForLoad(t, 0, 0)
	require.Equal(t, 0, f.Executions()[0].Finished, "a call whose caller has disconnected must not finish")
	require.Equal(t, 1, f.Executions()[1].Finished)
}

func TestCancelByIdentifier(t *testing.T) {
	f := serve(t, fastOptions())
	answered := make(chan error, 1)
	go func() {
		_, err := f.send("POST", chatPath, chatBody("x", 1_000_000, ""), "X-Request-Id", "r7")
		answered <- err
	}()
	f.waitForLoad(t, 1, 0)
	require.JSONEq(t, `{"cancelled":0}`, f.post(t, "/cancel", `{"id":"r8"}`).body)
	require.JSONEq(t, `{"cancelled":1}`, f.post(t, "/cancel", `{"id":"r7"}`).body)
	require.Error(t, <-answered)
	f.waitForLoad(t, 0, 0)
}

func TestPrefixCache(t *testing.T) {
	o := fastOptions()
	o.PrefillMicros, o.CacheBlocks, o.PrefillTokensPerStep = 400, 40, 10_000
	f := serve(t, o)
	long := strings.Repeat("0123456789abcdef", 160) // 640 tokens, 40 blocks
	elapsed := func(prompt string) time.Duration {
		start := time.Now()
		f.post(t, chatPath, chatBody(prompt, 1, ""))
		return time.Since(start)
	}
	cold := elapsed(long)
	require.GreaterOrEqual(t, cold, 250*time.Millisecond)
	require.Less(t, elapsed(long), cold/2)
	elapsed(strings.Repeat("other prompt....", 160))
	require.GreaterOrEqual(t, elapsed(long), 250*time.Millisecond, "the cache holds the blocks of only one of the prompts")

	var published struct{ Events []emulator.CacheEvent }
	require.Eventually(t, func() bool {
		f.get(t, "/cache-events?after=0", &published)
		return len(published.Events) > 100
	}, testTimeout, 10*time.Millisecond)
	kinds := map[string]int{}
	for _, e := range published.Events {
		require.NotZero(t, e.Number%emulator.DefaultCacheEventGap, "events with these numbers must not be published")
		kinds[e.Kind]++
	}
	require.Positive(t, kinds[emulator.CacheStored])
	require.Positive(t, kinds[emulator.CacheEvicted])
}

func TestOrdersWithStaleEpochAreRefused(t *testing.T) {
	o := fastOptions()
	o.EnforcesFencing = true
	f := serve(t, o)
	order := func(epoch, body string) int { return f.post(t, "/orders", body, emulator.HeaderEpoch, epoch).status }
	require.Equal(t, 200, order("5", `{"order":"load-model","model":"m2"}`))
	require.Equal(t, 409, order("4", `{"order":"unload-model","model":"m2"}`))
	require.Equal(t, 200, order("5", `{"order":"load-adapter","model":"m2","adapter":"a"}`))
	require.Equal(t, 400, order("5", `{"order":"dance"}`))
	require.Equal(t, 200, f.post(t, "/v1/completions", `{"model":"m2:a","prompt":"x","max_tokens":1}`).status)
	require.Equal(t, 404, f.post(t, "/v1/completions", `{"model":"m3","prompt":"x","max_tokens":1}`).status)
	f.SetFaults(emulator.EngineFaults{IgnoreFencing: true})
	require.Equal(t, 200, order("4", `{"order":"unload-model","model":"m2:a"}`))
	require.Equal(t, 404, f.post(t, "/v1/completions", `{"model":"m2:a","prompt":"x","max_tokens":1}`).status)
	require.True(t, f.Orders()[1].Refused)
}

func TestPlainServiceCountsExecutions(t *testing.T) {
	f := serve(t, emulator.EngineOptions{Plain: true})
	r := f.post(t, "/dockets/7?x=1", "body", "Idempotency-Key", "k1", "Content-Type", "text/x")
	require.Equal(t, "body", r.body)
	require.Equal(t, "1", string(r.header.Peek(emulator.HeaderExecution)))
	require.Equal(t, "2", string(f.post(t, "/dockets/7", "other", "Idempotency-Key", "k1").header.Peek(emulator.HeaderExecution)))
	f.post(t, "/dockets/8", "third")
	var counts []emulator.Execution
	f.get(t, "/executions", &counts)
	require.Equal(t, []emulator.Execution{
		{Call: "k1", Started: 2, Finished: 2},
		{Call: emulator.CallID("/dockets/8", []byte("third")), Started: 1, Finished: 1},
	}, counts)
	var received []emulator.Received
	f.get(t, "/received", &received)
	require.Len(t, received, 3)
	require.Equal(t, "x=1", received[0].Query)
	require.Equal(t, "body", received[0].Body)
	require.Contains(t, received[0].Headers, emulator.ReceivedHeader{Name: "Idempotency-Key", Value: "k1"})
}

// waitForLoad waits until the load report shows these numbers of running and
// waiting calls.
func (f *fixture) waitForLoad(t *testing.T, running, waiting int) {
	t.Helper()
	var r emulator.LoadReport
	require.Eventually(t, func() bool {
		got, err := f.send("GET", "/load", "")
		return err == nil && json.Unmarshal([]byte(got.body), &r) == nil && r.Running == running && r.Waiting == waiting
	}, testTimeout, 2*time.Millisecond)
}

// dialStream sends a request on a new connection and waits for the status line of
// the response. The returned connection reads the response from its first byte.
func dialStream(t *testing.T, address, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod("POST")
	q.SetRequestURI("http://" + address + chatPath)
	q.SetBodyString(body)
	_, err = q.WriteTo(c)
	require.NoError(t, err)
	read := readUntil(t, c, "HTTP/1.1 200 OK")
	return &replayConn{Conn: c, reader: io.MultiReader(strings.NewReader(read), c)}
}

// replayConn is a connection whose reads begin with what was read from it before.
type replayConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (c *replayConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// readUntil reads from c until the data read contains text, the connection ends
// or testTimeout has passed, and returns the data.
func readUntil(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	var got strings.Builder
	b := make([]byte, 4096)
	for !strings.Contains(got.String(), text) {
		n, err := c.Read(b)
		got.Write(b[:n])
		if err != nil {
			return got.String()
		}
	}
	return got.String()
}
