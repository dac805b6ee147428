package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/server"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// memoryBatches is a submitter.API that stores files and jobs in memory. Jobs
// are completed as soon as they are submitted.
type memoryBatches struct {
	submitter.API
	mu    sync.Mutex
	files []submitter.File
	text  map[string]string
	jobs  []submitter.Job
}

func newMemoryBatches() *memoryBatches { return &memoryBatches{text: map[string]string{}} }

func (l *memoryBatches) PutFile(_ context.Context, r submitter.PutFileRequest) (submitter.File, error) {
	b, err := io.ReadAll(r.Content)
	if err != nil {
		return submitter.File{}, err
	}
	for i, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if !strings.Contains(line, "custom_id") {
			return submitter.File{}, &submitter.BadLineError{Line: int64(i + 1), Field: "custom_id", Reason: "is missing"}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f := submitter.File{ID: fmt.Sprintf("file-%d", len(l.files)), Workspace: r.Workspace, Name: r.Name, Purpose: r.Purpose, Bytes: int64(len(b)), Created: 5000}
	l.files = append(l.files, f)
	l.text[f.ID] = string(b)
	return f, nil
}

func (l *memoryBatches) FileInfo(_ context.Context, w, id string) (submitter.File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.files {
		if f.ID == id && f.Workspace == w {
			return f, nil
		}
	}
	return submitter.File{}, &submitter.NotFoundError{Kind: "file", ID: id}
}

func (l *memoryBatches) FileContent(_ context.Context, _, id string, w io.Writer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := io.WriteString(w, l.text[id])
	return err
}

func (l *memoryBatches) DeleteFile(_ context.Context, _, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.text, id)
	return nil
}

func (l *memoryBatches) SubmitFromFile(_ context.Context, r submitter.FileSubmitRequest) (submitter.Job, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if r.IdempotencyKey != "" && j.IdempotencyKey == r.IdempotencyKey {
			if j.InputFileID != r.FileID {
				return submitter.Job{}, &submitter.ConflictError{IdempotencyKey: r.IdempotencyKey, JobID: j.ID}
			}
			return j, nil
		}
	}
	j := submitter.Job{
		ID: fmt.Sprintf("batch_%d", len(l.jobs)), Workspace: r.Workspace, IdempotencyKey: r.IdempotencyKey,
		InputFileID: r.FileID, Endpoint: r.Endpoint, State: submitter.StateCompleted, Counts: submitter.Counts{Total: 2, Done: 2},
		OutputFileID: r.FileID, Created: 1000, Deadline: 1000 + 24*3600*1000, Metadata: r.Metadata,
	}
	l.jobs = append(l.jobs, j)
	return j, nil
}

func (l *memoryBatches) Status(_ context.Context, w, id string) (submitter.Job, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if j.ID == id && j.Workspace == w {
			return j, nil
		}
	}
	return submitter.Job{}, &submitter.NotFoundError{Kind: "job", ID: id}
}

func (l *memoryBatches) Cancel(ctx context.Context, w, id string) (submitter.Job, error) {
	j, err := l.Status(ctx, w, id)
	j.State = submitter.StateCancelling
	return j, err
}

func (l *memoryBatches) List(_ context.Context, _ string, p submitter.PageRequest) (submitter.JobPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := 0
	for i, j := range l.jobs {
		if j.ID == p.After {
			from = i + 1
		}
	}
	to := min(len(l.jobs), from+p.Limit)
	return submitter.JobPage{Jobs: l.jobs[from:to], More: to < len(l.jobs)}, nil
}

const items = `{"custom_id":"1","method":"POST","url":"/v1/chat/completions","body":{}}
{"custom_id":"2","method":"POST","url":"/v1/chat/completions","body":{}}
`

func TestOfficialClientBatches(t *testing.T) {
	h := newHarness(t, answerWith("{}"), func(o *server.Options) { o.Batches = newMemoryBatches() })
	c := newClient(h, testKey)
	ctx := context.Background()
	f, err := c.Files.New(ctx, openai.FileNewParams{File: strings.NewReader(items), Purpose: openai.FilePurposeBatch})
	require.NoError(t, err)
	require.EqualValues(t, len(items), f.Bytes)
	require.EqualValues(t, 5, f.CreatedAt)
	p := openai.BatchNewParams{
		InputFileID: f.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}
	same := option.WithHeader("Idempotency-Key", "evening")
	b, err := c.Batches.New(ctx, p, same)
	require.NoError(t, err)
	again, err := c.Batches.New(ctx, p, same)
	require.NoError(t, err)
	require.Equal(t, b.ID, again.ID)
	p.InputFileID = "file-9"
	_, err = c.Batches.New(ctx, p, same)
	requireCode(t, err, 409, "idempotency-key-conflict")

	for range 4 {
		p.InputFileID = f.ID
		_, err = c.Batches.New(ctx, p)
		require.NoError(t, err)
	}
	var listed []string
	all := c.Batches.ListAutoPaging(ctx, openai.BatchListParams{Limit: openai.Int(2)})
	for all.Next() {
		listed = append(listed, all.Current().ID)
	}
	require.NoError(t, all.Err())
	require.Equal(t, []string{"batch_0", "batch_1", "batch_2", "batch_3", "batch_4"}, listed)

	got, err := c.Batches.Get(ctx, b.ID)
	require.NoError(t, err)
	require.Equal(t, openai.BatchStatusCompleted, got.Status)
	require.EqualValues(t, 2, got.RequestCounts.Completed)
	r, err := c.Files.Content(ctx, got.OutputFileID)
	require.NoError(t, err)
	text, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, items, string(text))
	cancelled, err := c.Batches.Cancel(ctx, b.ID)
	require.NoError(t, err)
	require.Equal(t, openai.BatchStatusCancelling, cancelled.Status)
	_, err = c.Batches.Get(ctx, "batch_none")
	requireCode(t, err, 404, "not-found")
	_, err = c.Files.Delete(ctx, f.ID)
	require.NoError(t, err)
}

func TestInvalidUploadsNameTheLineAndAreNotStored(t *testing.T) {
	l := newMemoryBatches()
	h := newHarness(t, answerWith("{}"), func(o *server.Options) {
		o.Batches = l
		o.MaxUpload = 4096
	})
	for name, c := range map[string]struct {
		purpose, content string
		status           int
		code, says       string
	}{
		"bad line":   {"batch", items + "{}\n", 400, "invalid-line", "line 3"},
		"too long":   {"batch", items + strings.Repeat(" ", 5000), 413, "body-too-large", "4096"},
		"key inside": {"batch", strings.Replace(items, `{}`, `{"k":"`+testKey+`"}`, 1), 400, "key-in-request", "body"},
		"purpose":    {"fine-tune", items, 400, "invalid-field", "purpose"},
		"no purpose": {"", items, 400, "missing-field", "purpose"},
	} {
		t.Run(name, func(t *testing.T) {
			a := h.do(h.uploadRequest(c.purpose, c.content))
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.code, a.code)
			require.Contains(t, a.body, c.says)
			require.NotContains(t, a.body, testKey)
			require.Empty(t, l.text, "nothing is kept")
		})
	}
	require.Equal(t, 200, h.do(h.uploadRequest("batch", items)).status)
}

// uploadRequest returns a request that uploads a file, with the content before
// the purpose.
func (h *harness) uploadRequest(purpose, content string) *http.Request {
	var b bytes.Buffer
	w := multipart.NewWriter(&b)
	p, err := w.CreateFormFile("file", "orders.jsonl")
	require.NoError(h.t, err)
	_, err = io.WriteString(p, content)
	require.NoError(h.t, err)
	if purpose != "" {
		require.NoError(h.t, w.WriteField("purpose", purpose))
	}
	require.NoError(h.t, w.Close())
	r := h.request("POST", "/v1/files", b.String())
	r.Header.Set("Content-Type", w.FormDataContentType())
	return r
}
