package queuer

import (
	"maps"
	"slices"

	"go.uber.org/zap"
)

// Checkpoint implements mirrorer.Machine. It returns nothing if a record cannot be
// encoded, so that the log is not compacted.
func (q *Queue) Checkpoint() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []Record
	for _, id := range slices.Sorted(maps.Keys(q.jobs)) {
		records = append(records, q.jobs[id].checkpointRecords()...)
	}
	if len(records) == 0 {
		records = []Record{nil}
	}
	out := make([][]byte, 0, len(records))
	for i, r := range records {
		data, err := Encode(CheckpointRecord{First: i == 0, Left: len(records) - 1 - i, Record: r})
		if err != nil {
			q.logger.Error("cannot encode checkpoint", zap.Error(err))
			return nil
		}
		out = append(out, data...)
	}
	return out
}

// checkpointRecords returns the records that restore the state of a job.
func (s *jobState) checkpointRecords() []Record {
	out := []Record{NewAccepted(*s.job)}
	for n, r := range s.results {
		f := Finished{Job: s.job.ID, Item: s.resultItems[n], Dead: r.Dead, Output: r.Output}
		if r.Dead {
			f.Output, f.Reason = nil, string(r.Output)
		}
		out = append(out, f)
	}
	for _, item := range slices.Sorted(maps.Keys(s.progress)) {
		p := s.progress[item]
		r := Saved{Parts: []Part{{Job: s.job.ID, Item: item, Output: p.Output, Events: p.Events, LastEvent: p.LastEvent}}}
		if p.Failures > 0 {
			r.Failures = []Failure{{Job: s.job.ID, Item: item, Count: p.Failures}}
		}
		out = append(out, r)
	}
	if s.ended {
		out = append(out, Ended{Job: s.job.ID})
	}
	return out
}

// restore applies one record of a checkpoint. The checkpoint replaces the queue's
// jobs only once it is complete. It changes nothing on a host that is serving, whose
// state it describes.
func (q *Queue) restore(r CheckpointRecord) {
	switch {
	case q.serving:
		return
	case r.First:
		q.restoring = make(jobTable)
	case q.restoring == nil || r.Left != q.remaining-1:
		q.restoring = nil
		return
	}
	q.remaining = r.Left
	if r.Record != nil {
		q.restoring.apply(r.Record)
	}
	if r.Left == 0 {
		q.jobs, q.restoring = q.restoring, nil
	}
}
