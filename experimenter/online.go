package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/requester"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jackdawgate/jackdawgate/emulator"
)

// flow is the online load of one workspace.
type flow struct {
	workspace string
	// perSecond is the mean rate of single requests, and burstSize the number of
	// requests that arrive together every burstEvery.
	perSecond  float64
	burstSize  int
	burstEvery time.Duration
	// tokens is the mean length of an answer.
	tokens int
	// prefixes is the number of long prompt prefixes that the requests share. If
	// it is zero, each request has a short prompt of its own.
	prefixes int
	timeout  time.Duration
	// greedy marks the flow of a workspace that sends more than its fair share.
	// Its latencies are not recorded.
	greedy bool
}

// arrival is one request of a flow.
type arrival struct {
	// at is the time from the start of the measurement.
	at   time.Duration
	body []byte
	want string
	id   string
	// tokens is the length of the answer.
	tokens int
}

const (
	onlinePrefix = "online-"
	// prefixBytes is the length of a shared prompt prefix, 1,024 tokens.
	prefixBytes = 4096
	// maxArrivals limits the number of requests of one flow.
	maxArrivals = 200_000
)

// arrivals returns the requests of the flow within the time d, in order of arrival.
// Their instants and contents depend only on the flow, d and seed.
func (f flow) arrivals(d time.Duration, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	var at []time.Duration
	for t := 0.0; f.perSecond > 0 && len(at) < maxArrivals; {
		t += r.ExpFloat64() / f.perSecond
		if t >= d.Seconds() {
			break
		}
		at = append(at, time.Duration(t*float64(time.Second)))
	}
	for t := f.burstEvery; f.burstSize > 0 && t < d && len(at) < maxArrivals; t += f.burstEvery {
		for range f.burstSize {
			at = append(at, t)
		}
	}
	slices.Sort(at)
	out := make([]arrival, len(at))
	for i, a := range at {
		out[i] = f.arrival(i, a, r)
	}
	return out
}

func (f flow) arrival(i int, at time.Duration, r *rand.Rand) arrival {
	n := f.tokens/2 + r.IntN(f.tokens+1)
	prompt := fmt.Sprintf("%s request %d", f.workspace, i)
	if f.prefixes > 0 {
		prompt = sharedPrefix(r.IntN(f.prefixes)) + prompt
	}
	body := chatBody(prompt, n, 0)
	return arrival{
		at: at, body: body, tokens: n,
		want: emulator.Text(engineModel, emulator.Prompt(body), n),
		id:   fmt.Sprintf("%s%s-%d", onlinePrefix, f.workspace, i),
	}
}

// sharedPrefix returns the shared prompt prefix with index i.
func sharedPrefix(i int) string {
	line := fmt.Sprintf("rules of game %d and the places in it; ", i)
	return strings.Repeat(line, prefixBytes/len(line)+1)[:prefixBytes]
}

// chatBody returns the body of a streamed chat completion request. If resumeFrom is
// positive, the answer is to start after that many tokens.
func chatBody(prompt string, tokens, resumeFrom int) []byte {
	resume := ""
	if resumeFrom > 0 {
		resume = fmt.Sprintf(`,"resume_from":%d`, resumeFrom)
	}
	return fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true%s}`,
		engineModel, prompt, tokens, resume)
}

// answerMargin is the time at the end of the measurement whose arrivals do not count
// in the workspaces' shares, since their answers may end after the measurement.
const answerMargin = time.Second

// onlineStats collects the results of the online load. Latencies are in microseconds
// and include answers that end after the measurement. The counts of answers and
// tokens include only answers that end within it.
type onlineStats struct {
	start, end time.Time

	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	answered   int
	// answeredTokens is the number of tokens in all counted answers.
	answeredTokens int
	lost           int
	refusals       int
	// workspaceTokens and requestedTokens are the answered and the requested tokens
	// of each workspace, without the arrivals within answerMargin.
	workspaceTokens map[string]int
	requestedTokens map[string]int
	// lostReasons counts lost requests by reason.
	lostReasons map[string]int
	// refusalCodes counts refusals by error code.
	refusalCodes map[string]int
}

// maxLatency is the largest latency that a histogram can record, in microseconds.
const maxLatency = 120_000_000

func newOnlineStats(start, end time.Time) *onlineStats {
	return &onlineStats{
		start: start, end: end,
		latency: hdrhistogram.New(1, maxLatency, 3), firstToken: hdrhistogram.New(1, maxLatency, 3),
		workspaceTokens: make(map[string]int), requestedTokens: make(map[string]int), lostReasons: make(map[string]int),
		refusalCodes: make(map[string]int),
	}
}

// add records the result r of the arrival a in the flow f.
func (t *onlineStats) add(f flow, a arrival, r callResult) {
	late := time.Now().After(t.end)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.start.Add(a.at + answerMargin).Before(t.end)
	if counts {
		t.requestedTokens[f.workspace] += a.tokens
	}
	t.refusals += len(r.refusals)
	for _, c := range r.refusals {
		t.refusalCodes[c]++
	}
	if !r.answered {
		t.lost++
		t.lostReasons[r.reason]++
		return
	}
	if !late {
		t.answered++
		t.answeredTokens += r.tokens
	}
	if !late && counts {
		t.workspaceTokens[f.workspace] += r.tokens
	}
	if f.greedy {
		return
	}
	// A latency above the histogram's range is recorded as maxLatency.
	_ = t.latency.RecordValue(min(r.total.Microseconds(), maxLatency))
	_ = t.firstToken.RecordValue(min(r.firstToken.Microseconds(), maxLatency))
}

// quantileMillis returns the percentile q, from 0 to 100, of a histogram of
// microseconds, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// runOnline sends the requests of all flows within the time d at their instants, and
// waits until all of them have ended.
func runOnline(ctx context.Context, f *fleet, flows []flow, d time.Duration, seed uint64) *onlineStats {
	var all sync.WaitGroup
	start := time.Now()
	t := newOnlineStats(start, start.Add(d))
	for i, w := range flows {
		c := newCaller(f.keys[w.workspace], f.addresses(), w.timeout, seed+uint64(i))
		list := w.arrivals(d, seed+uint64(i))
		all.Go(func() {
			defer c.close()
			w.send(ctx, c, list, start, t)
		})
	}
	all.Wait()
	return t
}

// send sends the requests in list with c, each at its instant after start, and
// records their results in t. It does not wait for one answer before it sends the
// next request, but returns only when all requests have ended.
func (f flow) send(ctx context.Context, c *caller, list []arrival, start time.Time, t *onlineStats) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, a := range list {
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-ctx.Done():
			return
		}
		open.Go(func() { t.add(f, a, c.call(ctx, requester.PathChat, a.body, a.id, a.want)) })
	}
}

// fairShares divides capacity by max-min fairness: no workspace receives more than
// it requested, and what remains is divided equally among the others.
func fairShares(wanted map[string]int, capacity float64) map[string]float64 {
	names := make([]string, 0, len(wanted))
	for n := range wanted {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return wanted[a] - wanted[b] })
	out := make(map[string]float64, len(names))
	for i, n := range names {
		part := min(float64(wanted[n]), capacity/float64(len(names)-i))
		out[n] = part
		capacity -= part
	}
	return out
}

// worstShare returns the smallest ratio of a workspace's tokens to its fair share. It
// is at most 1.
func (t *onlineStats) worstShare() float64 {
	total := 0
	for _, n := range t.workspaceTokens {
		total += n
	}
	worst := 1.0
	for w, fair := range fairShares(t.requestedTokens, float64(total)) {
		if fair > 0 {
			worst = min(worst, float64(t.workspaceTokens[w])/fair)
		}
	}
	return worst
}
