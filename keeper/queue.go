package keeper

import (
	"container/heap"
	"slices"
)

// fairQueue orders the waiting calls of one class by start-time fair queuing.
// Each workspace is a flow. Its finish tag is the virtual time at which it will
// have received its weighted share of all tokens charged to it so far. The
// backlogged flow with the lowest tag goes first. The tag of a flow that becomes
// backlogged is raised to at least the virtual time, so that an idle flow
// accumulates no credit.
type fairQueue struct {
	virtualTime float64
	flows       map[string]*flow
	backlogged  flowHeap
	waiting     int
	// sweepThreshold is the number of flows at which idle flows are removed.
	sweepThreshold int
}

// flow holds the calls of one workspace.
type flow struct {
	workspace string
	weight    float64
	// finishTag is the virtual time at which the flow's next call starts.
	finishTag float64
	waiting   []CallID
	running   int
	// heapIndex is the position in the heap, or -1 if no call waits.
	heapIndex int
}

// minSweepFlows is the smallest number of flows for which a sweep is worthwhile.
const minSweepFlows = 32

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[string]*flow), sweepThreshold: minSweepFlows}
}

// flowFor returns the flow of a workspace and creates it if necessary.
func (q *fairQueue) flowFor(workspace string, weight float64) *flow {
	f, ok := q.flows[workspace]
	if !ok {
		q.sweep()
		f = &flow{workspace: workspace, heapIndex: -1}
		q.flows[workspace] = f
	}
	f.weight = weight
	return f
}

// sweep removes idle flows whose finish tag is not ahead of the virtual time.
// Such a flow would start at the virtual time again, so nothing is lost.
func (q *fairQueue) sweep() {
	if len(q.flows) < q.sweepThreshold {
		return
	}
	for name, f := range q.flows {
		if f.running == 0 && len(f.waiting) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
	q.sweepThreshold = max(minSweepFlows, 2*len(q.flows))
}

func (q *fairQueue) push(f *flow, id CallID) {
	f.waiting = append(f.waiting, id)
	q.waiting++
	if f.heapIndex < 0 {
		f.finishTag = max(f.finishTag, q.virtualTime)
		heap.Push(&q.backlogged, f)
	}
}

// pop removes and returns the first call.
func (q *fairQueue) pop() (CallID, bool) {
	if len(q.backlogged) == 0 {
		return 0, false
	}
	f := q.backlogged[0]
	id := f.waiting[0]
	q.virtualTime = max(q.virtualTime, f.finishTag)
	q.remove(f, id)
	return id, true
}

// remove removes a waiting call of f.
func (q *fairQueue) remove(f *flow, id CallID) {
	i := slices.Index(f.waiting, id)
	if i < 0 {
		return
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.waiting--
	if len(f.waiting) > 0 {
		heap.Fix(&q.backlogged, f.heapIndex)
		return
	}
	f.waiting = nil
	heap.Remove(&q.backlogged, f.heapIndex)
}

// charge adds tokens, which may be negative, to the tokens charged to f.
func (q *fairQueue) charge(f *flow, tokens int64) {
	f.finishTag += float64(tokens) / f.weight
	if f.heapIndex >= 0 {
		heap.Fix(&q.backlogged, f.heapIndex)
	}
}

// mostBacklogged returns the flow with the most waiting calls per unit of weight.
// Ties go to the workspace whose name sorts first.
func (q *fairQueue) mostBacklogged() *flow {
	var best *flow
	for _, f := range q.backlogged {
		if best == nil || f.backlog(0) > best.backlog(0) ||
			(f.backlog(0) == best.backlog(0) && f.workspace < best.workspace) {
			best = f
		}
	}
	return best
}

// backlog returns the number of waiting calls plus more, per unit of weight.
func (f *flow) backlog(more int) float64 {
	return float64(len(f.waiting)+more) / f.weight
}

// flowHeap is a min-heap ordered by finish tag, then by the oldest waiting call.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].waiting[0] < h[j].waiting[0]
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}
