package scheduler

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/retrier"
	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/rotisserie/eris"
)

// itemID returns the request identifier of an item's calls.
func itemID(jobID string, index uint64) string { return fmt.Sprintf("%s-%d", jobID, index) }

// answerSink buffers an answer whose body has at most limit bytes.
type answerSink struct {
	limit  int
	status int
	body   []byte
}

var errAnswerTooLong = eris.New("answer is too long")

// Head implements requester.Sink.
func (s *answerSink) Head(status int, _ []requester.Header) error {
	s.status, s.body = status, s.body[:0]
	return nil
}

// Body implements requester.Sink.
func (s *answerSink) Body(chunk []byte) error {
	if len(s.body)+len(chunk) > s.limit {
		return errAnswerTooLong
	}
	s.body = append(s.body, chunk...)
	return nil
}

// itemResult is the outcome of one call of an item. Outcome and body are empty for an
// item that could not be decoded and was therefore not called.
type itemResult struct {
	job      *job
	item     *jobItem
	customID string
	outcome  requester.Outcome
	body     []byte
}

// run makes one call of an item and sends its outcome to the job loop.
func (sc *Scheduler) run(ctx context.Context, j *job, a *jobItem, r requester.Request, customID string) {
	s := &answerSink{limit: sc.options.MaxAnswer}
	var o requester.Outcome = requester.NotRun{Code: retrier.NotRunCancelled}
	if ctx.Err() == nil { // the job may have been cancelled before this goroutine ran
		o = sc.options.Doer.Do(ctx, r, s)
	}
	sc.send(callFinished{itemResult{job: j, item: a, customID: customID, outcome: o, body: s.body}})
}

// record returns the record that effect requires; ok is false if it requires
// none.
func (r itemResult) record(effect retrier.Effect) (pendingRecord, bool, error) {
	index := r.item.state.Index
	line := tallier.OutputLine{ID: "batch_req_" + itemID(r.job.id, index), CustomID: r.customID}
	head := tallier.Head{Item: index}
	switch e := effect.(type) {
	case retrier.RecordSuspect:
		head.Kind = tallier.KindSuspect
		return pendingRecord{head: head, data: tallier.Encode(head, nil)}, true, nil
	case retrier.RecordDone:
		head.Kind = tallier.KindDone
		r.addAnswer(&line, &head)
	case retrier.RecordFailed:
		head.Kind = tallier.KindFailed
		line.Error = &tallier.OutputError{Code: e.Code, Message: e.Message, Attempts: r.item.state.TotalAttempts()}
		if e.Answered {
			r.addAnswer(&line, &head)
		}
	default:
		return pendingRecord{}, false, nil
	}
	encoded, err := line.Encode()
	if err != nil {
		return pendingRecord{}, false, err
	}
	head.LineBytes = uint32(len(encoded))
	return pendingRecord{head: head, data: tallier.Encode(head, encoded)}, true, nil
}

// addAnswer adds the answer and its usage to a record, if the call was answered.
func (r itemResult) addAnswer(line *tallier.OutputLine, head *tallier.Head) {
	a, ok := r.outcome.(requester.Answered)
	if !ok {
		return
	}
	head.Usage = a.Usage
	line.Response = tallier.NewOutputResponse(a.Status, itemID(r.job.id, r.item.state.Index), r.body)
}
