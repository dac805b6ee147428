package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/schollz/progressbar/v3"
	"github.com/valyala/fasthttp"
)

// jobClient is an apiClient for requests about the jobs of one workspace.
type jobClient struct {
	apiClient
	workspace string
}

func (j *jobClient) Flags(f *flag.FlagSet) {
	j.apiClient.Flags(f)
	f.StringVar(&j.workspace, "workspace", "", "`workspace` of the job")
}

// path returns the path and query of a request. suffix is appended to the path, extra
// to the query.
func (j *jobClient) path(suffix string, extra url.Values) string {
	q := url.Values{"workspace": {j.workspace}}
	for k, v := range extra {
		q[k] = v
	}
	return administrator.JobsPath + suffix + "?" + q.Encode()
}

// checkArguments returns a UsageError if -workspace is missing or args does not have
// one element for each name.
func (j *jobClient) checkArguments(args []string, names ...string) error {
	if j.workspace == "" {
		return &commander.UsageError{Problem: "give -workspace"}
	}
	return checkArgumentCount(args, names...)
}

// call sends q and decodes the job in the response.
func (j *jobClient) call(ctx context.Context, e commander.Env, q request) (submitter.Job, error) {
	var job submitter.Job
	data, err := j.send(ctx, e, q)
	if err != nil {
		return job, err
	}
	return job, eris.Wrap(json.Unmarshal(data, &job), "decode job")
}

// printJob prints job as one line of text, or as JSON if -json was given.
func (j *jobClient) printJob(e commander.Env, job submitter.Job) error {
	if j.jsonOutput {
		return printJSON(e.Stdout, job)
	}
	_, err := fmt.Fprintf(e.Stdout, "job %s: %s, %d of %d items ended, %d failed, %.1f a second, expected end %s%s\n",
		job.ID, job.State, job.Counts.Done+job.Counts.Failed, job.Counts.Total, job.Counts.Failed,
		job.ItemsPerSecond, formatTime(job.ExpectedEnd), formatReason(job.Reason))
	return err
}

// formatReason returns text in parentheses, or an empty string if text is empty.
func formatReason(text string) string {
	if text == "" {
		return ""
	}
	return " (" + text + ")"
}

// JobSubmit submits a batch job. Its -id is the job's idempotency key.
type JobSubmit struct {
	jobClient
	endpoint string
	due      time.Duration
}

// Name implements commander.Command.
func (*JobSubmit) Name() string { return "job submit" }

// Arguments implements commander.Command.
func (*JobSubmit) Arguments() string { return "FILE" }

// Short implements commander.Command.
func (*JobSubmit) Short() string { return "submits a batch job of JSON lines" }

// Example implements commander.Command.
func (*JobSubmit) Example() string {
	return "jackdawgate job submit orders.jsonl -workspace kitchen -due 6h"
}

// Flags implements commander.Command.
func (j *JobSubmit) Flags(f *flag.FlagSet) {
	j.jobClient.Flags(f)
	j.addChangeFlags(f)
	f.StringVar(&j.endpoint, "endpoint", requester.PathChat, "`path` that each item calls")
	f.DurationVar(&j.due, "due", 24*time.Hour, "`time` from now until the job is due")
}

// Run implements commander.Command.
func (j *JobSubmit) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := j.checkArguments(args, "FILE"); err != nil {
		return err
	}
	items, err := os.ReadFile(args[0])
	if err != nil {
		return eris.Wrap(err, "read items")
	}
	due := timer.Wall() + timer.FromDuration(j.due)
	extra := url.Values{"endpoint": {j.endpoint}, "deadline": {strconv.FormatInt(int64(due), 10)}}
	job, err := j.call(ctx, e, request{
		method:  fasthttp.MethodPost,
		path:    j.path("", extra),
		body:    items,
		headers: map[string]string{"Idempotency-Key": j.changeID()},
	})
	if outcomeUnknown(err) {
		return eris.Wrapf(err, "repeat with -id %s", j.id)
	}
	if err != nil {
		return err
	}
	return j.printJob(e, job)
}

// JobStatus prints a job's progress, once or repeatedly until the job has ended.
type JobStatus struct {
	jobClient
	watch bool
}

// Name implements commander.Command.
func (*JobStatus) Name() string { return "job status" }

// Arguments implements commander.Command.
func (*JobStatus) Arguments() string { return "JOB" }

// Short implements commander.Command.
func (*JobStatus) Short() string { return "shows a job's progress" }

// Example implements commander.Command.
func (*JobStatus) Example() string {
	return "jackdawgate job status 0198c5 -workspace kitchen -watch"
}

// Flags implements commander.Command.
func (j *JobStatus) Flags(f *flag.FlagSet) {
	j.jobClient.Flags(f)
	f.BoolVar(&j.watch, "watch", false, "repeat until the job has ended")
}

// watchInterval is the time between requests for the status of a watched job.
const watchInterval = time.Second

// Run implements commander.Command.
func (j *JobStatus) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := j.checkArguments(args, "JOB"); err != nil {
		return err
	}
	var bar *progressbar.ProgressBar
	for {
		job, err := j.call(ctx, e, request{method: fasthttp.MethodGet, path: j.path("/"+url.PathEscape(args[0]), nil)})
		if err != nil {
			return err
		}
		if bar == nil && j.watch && e.Terminal && !j.jsonOutput {
			bar = progressbar.Default(job.Counts.Total, string(job.State))
		}
		if bar != nil {
			_ = bar.Set64(job.Counts.Done + job.Counts.Failed)
		} else if err := j.printJob(e, job); err != nil {
			return err
		}
		if !j.watch || job.State.Ended() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// JobCancel cancels a job. Results that exist by then can still be read.
type JobCancel struct{ jobClient }

// Name implements commander.Command.
func (*JobCancel) Name() string { return "job cancel" }

// Arguments implements commander.Command.
func (*JobCancel) Arguments() string { return "JOB" }

// Short implements commander.Command.
func (*JobCancel) Short() string {
	return "cancels a job; no new item starts, and existing results remain readable"
}

// Example implements commander.Command.
func (*JobCancel) Example() string { return "jackdawgate job cancel 0198c5 -workspace kitchen" }

// Run implements commander.Command.
func (j *JobCancel) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := j.checkArguments(args, "JOB"); err != nil {
		return err
	}
	path := j.path("/"+url.PathEscape(args[0])+"/cancel", nil)
	job, err := j.call(ctx, e, request{method: fasthttp.MethodPost, path: path})
	if err != nil {
		return err
	}
	return j.printJob(e, job)
}

// JobResults prints a job's results, or its failed items, as JSON lines.
type JobResults struct {
	jobClient
	failed bool
}

// Name implements commander.Command.
func (*JobResults) Name() string { return "job results" }

// Arguments implements commander.Command.
func (*JobResults) Arguments() string { return "JOB" }

// Short implements commander.Command.
func (*JobResults) Short() string { return "prints a job's results as JSON lines" }

// Example implements commander.Command.
func (*JobResults) Example() string {
	return "jackdawgate job results 0198c5 -workspace kitchen > results.jsonl"
}

// Flags implements commander.Command.
func (j *JobResults) Flags(f *flag.FlagSet) {
	j.jobClient.Flags(f)
	f.BoolVar(&j.failed, "failed", false, "print the items that failed, with their reasons")
}

// Run implements commander.Command.
func (j *JobResults) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := j.checkArguments(args, "JOB"); err != nil {
		return err
	}
	kind := "output"
	if j.failed {
		kind = "errors"
	}
	path := j.path("/"+url.PathEscape(args[0])+"/output", url.Values{"kind": {kind}})
	data, err := j.send(ctx, e, request{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return err
	}
	_, err = e.Stdout.Write(data)
	return err
}
