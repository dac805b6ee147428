package queuer

import (
	"maps"
	"slices"

	"go.uber.org/zap"
)

// Checkpoint implements mirrorer.Machine. It returns nothing when there is an
// error, so that the log is kept as it is.
func (q *Queue) Checkpoint() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []Record
	for _, id := range slices.Sorted(maps.Keys(q.jobs)) {
		records = append(records, q.jobs[id].records()...)
	}
	if len(records) == 0 {
		records = []Record{nil}
	}
	out := make([][]byte, 0, len(records))
	for i, r := range records {
		data, err := Encode(Restored{First: i == 0, Left: len(records) - 1 - i, Record: r})
		if err != nil {
			q.logger.Error("checkpoint not encoded", zap.Error(err))
			return nil
		}
		out = append(out, data)
	}
	return out
}

// records are those that make a kept job what it is.
func (k *kept) records() []Record {
	out := []Record{Accepted{Job: *k.job}}
	for n, r := range k.results {
		out = append(out, Finished{Job: k.job.ID, Item: k.listed[n], Dead: r.Dead, Output: r.Output})
	}
	for _, item := range slices.Sorted(maps.Keys(k.saved)) {
		p := k.saved[item]
		r := Saved{Parts: []Part{{Job: k.job.ID, Item: item, Output: p.Output, Events: p.Events, Last: p.Last}}}
		if p.Failures > 0 {
			r.Failures = []Failure{{Job: k.job.ID, Item: item, Count: p.Failures}}
		}
		out = append(out, r)
	}
	if k.ended {
		out = append(out, Ended{Job: k.job.ID})
	}
	return out
}

// restore takes one record of a checkpoint. It counts only once it is whole, and
// changes nothing on a host that serves, whose state it lists.
func (q *Queue) restore(r Restored) {
	switch {
	case q.serving:
		return
	case r.First:
		q.restoring = make(jobs)
	case q.restoring == nil || r.Left != q.left-1:
		q.restoring = nil
		return
	}
	q.left = r.Left
	if r.Record != nil {
		q.restoring.apply(r.Record)
	}
	if r.Left == 0 {
		q.jobs, q.restoring = q.restoring, nil
	}
}
