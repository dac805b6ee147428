package experimenter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// submitTimeout limits all attempts to submit one job, submitPause is the pause between
	// two of them.
	submitTimeout = 20 * time.Second
	submitPause   = 200 * time.Millisecond
)

// Submission is a batch job that is submitted through the operators' interface.
type Submission struct {
	// URL is that of the call, with its query, and Token the operators' token.
	URL, Token string
	// Key identifies the job in repeated attempts.
	Key string
	// Items are the job's items, as JSONL.
	Items []byte
}

// Send submits the job and returns the body of the answer. As callers do, it sends the job
// again with the same key while a host answers that it was not accepted. A StatusError
// reports any other answer, and the last one after submitTimeout.
func (s Submission) Send(ctx context.Context, c *fasthttp.Client) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for {
		body, err := fetch(ctx, c, func(q *fasthttp.Request) {
			q.Header.SetMethod(fasthttp.MethodPost)
			q.SetRequestURI(s.URL)
			q.Header.Set("Authorization", "Bearer "+s.Token)
			q.Header.Set("Idempotency-Key", s.Key)
			q.SetBodyRaw(s.Items)
		})
		var status *StatusError
		if !errors.As(err, &status) || status.Status != fasthttp.StatusServiceUnavailable {
			return body, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(submitPause):
		}
	}
}

// StatusError reports an answer of a host with another status than 200.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.300s", e.Status, e.Body) }

// fetch sends the request that set completes and returns the body of the answer. It fails
// with a *StatusError if the status is not 200.
func fetch(ctx context.Context, c *fasthttp.Client, set func(*fasthttp.Request)) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	set(q)
	if err := c.DoTimeout(q, p, adminTimeout); err != nil {
		return nil, eris.Wrap(err, "ask host")
	}
	if p.StatusCode() != fasthttp.StatusOK {
		return nil, &StatusError{Status: p.StatusCode(), Body: string(p.Body())}
	}
	return append([]byte(nil), p.Body()...), nil
}
