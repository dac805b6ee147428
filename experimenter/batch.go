package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackdawgate/jackdawgate/requester"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/submitter"
)

const (
	// adminTimeout limits one call to the operators' interface.
	adminTimeout = 20 * time.Second
	// drainTimeout limits the wait for the running items of a cancelled job.
	drainTimeout      = 20 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

// batchLoad is the batch load of a row: one job for each workspace, with more items
// than can be completed while the row runs.
type batchLoad struct {
	fleet  *fleet
	client *fasthttp.Client
	tokens int
	jobs   []batchJob
}

type batchJob struct {
	workspace string
	id        string
	// want contains the expected text of each item by custom_id.
	want map[string]string
}

// startBatch submits one job with the given number of items for each workspace.
func startBatch(ctx context.Context, f *fleet, workspaces []string, items, tokens int) (*batchLoad, error) {
	b := &batchLoad{fleet: f, client: &fasthttp.Client{}, tokens: tokens}
	for _, w := range workspaces {
		j := batchJob{workspace: w, want: make(map[string]string, items)}
		var body bytes.Buffer
		for i := range items {
			b.writeItem(&body, &j, i)
		}
		var answer submitter.Job
		path := administrator.JobsPath + "?workspace=" + w + "&endpoint=" + requester.PathChat
		data, err := Submission{URL: b.url(path), Token: adminToken, Key: uuid.NewString(), Items: body.Bytes()}.Send(ctx, b.client)
		if err == nil {
			err = json.Unmarshal(data, &answer)
		}
		if err != nil {
			return nil, eris.Wrap(err, "submit batch job")
		}
		j.id = answer.ID
		b.jobs = append(b.jobs, j)
	}
	return b, nil
}

// writeItem writes item i of j to w and stores its expected text in j.want.
func (b *batchLoad) writeItem(w *bytes.Buffer, j *batchJob, i int) {
	prompt := fmt.Sprintf("%s note %d", j.workspace, i)
	id := fmt.Sprintf("item-%d", i)
	body := fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, engineModel, prompt, b.tokens)
	j.want[id] = emulator.Text(engineModel, emulator.Prompt(body), b.tokens)
	_, _ = fmt.Fprintf(w, `{"custom_id":%q,"method":"POST","url":%q,"body":%s}`+"\n", id, requester.PathChat, body)
}

// call makes a call to the operators' interface and decodes the response into v. It
// uses the first host; killHost kills the last one.
func (b *batchLoad) call(ctx context.Context, method, path string, body []byte, v any) error {
	data, err := b.fetch(ctx, method, path, body)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(data, v), "decode answer")
}

// url returns the URL of a path of the operators' interface.
func (b *batchLoad) url(path string) string {
	return "http://" + b.fleet.hosts[0].CallerAddress() + path
}

// fetch is like call but returns the body of the response.
func (b *batchLoad) fetch(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return fetch(ctx, b.client, func(q *fasthttp.Request) {
		q.Header.SetMethod(method)
		q.SetRequestURI(b.url(path))
		q.Header.Set("Authorization", "Bearer "+adminToken)
		q.SetBodyRaw(body)
	})
}

// counts returns the sums of the jobs' done, failed and running items.
func (b *batchLoad) counts(ctx context.Context) (submitter.Counts, error) {
	var sum submitter.Counts
	for _, j := range b.jobs {
		var a submitter.Job
		if err := b.call(ctx, fasthttp.MethodGet, j.path(""), nil, &a); err != nil {
			return sum, err
		}
		sum.Done += a.Counts.Done
		sum.Failed += a.Counts.Failed
		sum.Running += a.Counts.Running
	}
	return sum, nil
}

// path returns the path and query of the operators' interface for j, with verb
// appended to the path.
func (j batchJob) path(verb string) string {
	return administrator.JobsPath + "/" + j.id + verb + "?workspace=" + j.workspace
}

// batchTotals summarises the results of the jobs.
type batchTotals struct {
	// wrong counts results that are not successful or differ from the expected
	// text, and duplicates counts results of items that already had one.
	wrong      int
	duplicates int
}

// stop cancels the jobs, waits until their running items have ended, and checks all
// results.
func (b *batchLoad) stop(ctx context.Context) (batchTotals, error) {
	var end batchTotals
	for _, j := range b.jobs {
		var a submitter.Job
		if err := b.call(ctx, fasthttp.MethodPost, j.path("/cancel"), nil, &a); err != nil {
			return end, eris.Wrap(err, "cancel batch job")
		}
	}
	for _, j := range b.jobs {
		if err := b.awaitEnd(ctx, j); err != nil {
			return end, err
		}
		if err := b.checkResults(ctx, j, &end); err != nil {
			return end, err
		}
	}
	return end, nil
}

// awaitEnd waits until j has ended, at most for drainTimeout.
func (b *batchLoad) awaitEnd(ctx context.Context, j batchJob) error {
	limit := time.Now().Add(drainTimeout)
	for {
		var a submitter.Job
		err := b.call(ctx, fasthttp.MethodGet, j.path(""), nil, &a)
		if err == nil && a.Ended > 0 {
			return nil
		}
		if time.Now().After(limit) {
			return eris.Errorf("job %s did not end in time after its cancellation: %v", j.id, err)
		}
		if !sleepWithin(ctx, drainPollInterval, limit.Add(time.Second)) {
			return ctx.Err()
		}
	}
}

// resultLine contains the fields that are read from one line of a job's output.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Status int `json:"status_code"`
		Body   struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

// checkResults reads the output of j and adds its wrong and duplicate results to end.
func (b *batchLoad) checkResults(ctx context.Context, j batchJob, end *batchTotals) error {
	data, err := b.fetch(ctx, fasthttp.MethodGet, j.path("/output"), nil)
	if err != nil {
		return eris.Wrap(err, "read results")
	}
	seen := make(map[string]bool)
	for line := range bytes.Lines(data) {
		var r resultLine
		if err := json.Unmarshal(line, &r); err != nil {
			return eris.Wrap(err, "decode result")
		}
		if seen[r.CustomID] {
			end.duplicates++
		}
		seen[r.CustomID] = true
		c := r.Response.Body.Choices
		if len(c) != 1 || c[0].Message.Content != j.want[r.CustomID] {
			end.wrong++
		}
	}
	return nil
}
