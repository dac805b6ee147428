package batcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/copier"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const workspace = "kitchen"

// cluster is a fleet of hosts in one process, with their store and a function in
// place of the backend servers.
type cluster struct {
	t     testing.TB
	sync  persister.SyncPolicy
	net   *messenger.Memory
	store *storer.Memory
	hosts []*host
	usage *usageRecorder

	mu     sync.Mutex
	record registrar.Record
	// do takes the place of the backend servers for the calls of items.
	do func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome
	// calls counts the calls by custom_id; nil if they are not counted.
	calls map[string]int
}

// host is a host with its data folder, which outlives its processes. Each start
// creates a new process.
type host struct {
	c          *cluster
	name       string
	folder     string
	dataCentre string
	starts     int
	up         bool
	local      *archiver.Store
	copier     *copier.Copier
	batcher    *batcher.Batcher
	process    *process
	options    func(*batcher.Options)
}

// callCounts returns the number of calls of each item.
func (c *cluster) callCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

// usageRecorder is an opener.Biller that requires every repeated record of a
// segment's usage to equal the first.
type usageRecorder struct {
	mu       sync.Mutex
	segments map[string]opener.SegmentUsage
}

func (b *usageRecorder) Bill(_ context.Context, u opener.SegmentUsage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if have, ok := b.segments[u.Segment]; ok && (have.Requests != u.Requests || have.Usage != u.Usage) {
		return fmt.Errorf("segment %s billed with other numbers", u.Segment)
	}
	b.segments[u.Segment] = u
	return nil
}

func (b *usageRecorder) requests() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var n int64
	for _, u := range b.segments {
		n += u.Requests
	}
	return n
}

// newCluster starts n hosts, each with a data folder, in three data centres, and
// waits until they may act for their jobs.
func newCluster(t testing.TB, n int, options func(*batcher.Options)) *cluster {
	return newClusterWith(t, n, persister.SyncNever, options)
}

func newClusterWith(t testing.TB, n int, sync persister.SyncPolicy, options func(*batcher.Options)) *cluster {
	c := &cluster{
		t: t, sync: sync, net: messenger.NewMemory(), store: storer.NewMemory(), calls: make(map[string]int),
		usage: &usageRecorder{segments: make(map[string]opener.SegmentUsage)},
		do:    answerAfter(50 * time.Millisecond),
	}
	for i := range n {
		h := &host{c: c, name: fmt.Sprintf("h%d", i), dataCentre: fmt.Sprintf("dc%d", i%3), folder: t.TempDir(), options: options}
		c.hosts = append(c.hosts, h)
		h.start()
		c.join(h)
	}
	time.Sleep(6 * time.Second)
	return c
}

// answerAfter returns a Doer function that answers every call with 200 after d.
func answerAfter(d time.Duration) func(context.Context, requester.Request, requester.Sink) requester.Outcome {
	return func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		return answer(ctx, r, s, d, 200)
	}
}

func answer(ctx context.Context, r requester.Request, s requester.Sink, d time.Duration, status int) requester.Outcome {
	if !timer.SleepDuration(ctx, d) {
		return requester.MaybeRun{Code: "cancelled"}
	}
	if s.Head(status, nil) != nil || s.Body([]byte(`{"echo":"`+customID(r)+`"}`)) != nil {
		return requester.MaybeRun{Code: "sink"}
	}
	return requester.Answered{Status: status, Usage: requester.Usage{PromptTokens: 10, CompletionTokens: 5}, Server: "m1"}
}

func (h *host) start() {
	h.starts++
	p := &process{h: h, clock: timer.System(), self: registrar.Member{
		Name: h.name, Incarnation: fmt.Sprint(h.starts), DataCentre: h.dataCentre, PeerAddress: h.name, Bulk: true,
	}}
	p.killed, p.kill = context.WithCancel(context.Background())
	local, err := archiver.Open(archiver.StoreOptions{Folder: h.folder, Sync: h.c.sync, Log: zap.NewNop()})
	require.NoError(h.c.t, err)
	peer := h.c.net.Host(h.name, messenger.Peer{Name: h.name, Incarnation: p.self.Incarnation})
	caller := processCaller{Caller: peer, p: p}
	client := replicator.NewClient(replicator.ClientOptions{Caller: caller, Viewer: p, Log: zap.NewNop()})
	local.Register(peer, caller)
	o := batcher.Options{
		Store: processStore{Store: h.c.store, p: p}, Archive: client, Local: local, Caller: caller, Viewer: p,
		Clock: timer.System(), Doer: p, Biller: h.c.usage, Log: zap.NewNop(),
	}
	if h.options != nil {
		h.options(&o)
	}
	b, err := batcher.New(o)
	require.NoError(h.c.t, err)
	b.Register(peer)
	h.local, h.batcher, h.process, h.up = local, b, p, true
	h.copier = copier.New(copier.Options{
		Store: local, Client: client, Self: h.name, Clock: timer.System(), Log: zap.NewNop(),
	})
}

// kill makes all calls of the process fail and then stops it, so that it can record
// nothing more; its state in memory is lost.
func (h *host) kill() {
	h.c.net.Remove(h.name)
	h.process.kill()
	h.release()
}

// stop stops the process once it has recorded the results received so far.
func (h *host) stop() {
	h.batcher.Close()
	h.c.net.Remove(h.name)
	h.release()
	h.process.kill()
}

func (h *host) release() {
	h.batcher.Close()
	h.copier.Close()
	require.NoError(h.c.t, h.local.Close())
	h.up = false
}

// join adds the host's process to the record.
func (c *cluster) join(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = c.record.WithMember(h.process.self)
	c.publish()
}

// publish passes the record to every running process. The caller must hold c.mu.
func (c *cluster) publish() {
	for _, h := range c.hosts {
		if h.up {
			h.process.observe(c.record)
		}
	}
}

// leave removes the host's process from the record.
func (c *cluster) leave(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = c.record.WithoutMember(h.name, h.process.self.Incarnation)
	c.publish()
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.up {
			h.stop()
		}
	}
}

// anyBatcher returns the Batcher of the first host that is up.
func (c *cluster) anyBatcher() *batcher.Batcher {
	for _, h := range c.hosts {
		if h.up {
			return h.batcher
		}
	}
	c.t.Fatal("no host is up")
	return nil
}

// owner returns the host that owns the job.
func (c *cluster) owner(job string) *host {
	c.mu.Lock()
	s := coordinator.Snapshot{}.WithRecord(c.record)
	c.mu.Unlock()
	m, ok := s.Owner(coordinator.JobObject(job))
	require.True(c.t, ok)
	for _, h := range c.hosts {
		if h.name == m.Name {
			return h
		}
	}
	return nil
}

func inputLine(name string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":"m","name":%q,"messages":[{"role":"user","content":%q}]}}`+"\n", name, name, name)
}

func itemNames(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

func input(names []string) string {
	var b strings.Builder
	for _, n := range names {
		b.WriteString(inputLine(n))
	}
	return b.String()
}

func request(key string, names []string) submitter.SubmitRequest {
	return submitter.SubmitRequest{
		Workspace: workspace, IdempotencyKey: key, Endpoint: "/v1/chat/completions", Items: strings.NewReader(input(names)),
	}
}

func (c *cluster) submit(key string, names []string) submitter.Job {
	j, err := c.anyBatcher().Submit(c.t.Context(), request(key, names))
	require.NoError(c.t, err)
	return j
}

// outputLine has the fields of an output line that the tests read.
type outputLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code     string `json:"code"`
		Attempts int    `json:"attempts"`
	} `json:"error"`
}

// output reads a job's results by custom_id. A custom_id that occurs twice fails
// the test.
func (c *cluster) output(b *batcher.Batcher, job string, kind submitter.OutputKind) (map[string]outputLine, error) {
	var buf bytes.Buffer
	if err := b.Output(c.t.Context(), workspace, job, kind, &buf); err != nil {
		return nil, err
	}
	out := make(map[string]outputLine)
	for _, l := range strings.Split(strings.TrimSpace(buf.String()), "\n") {
		if l == "" {
			continue
		}
		var o outputLine
		require.NoError(c.t, json.Unmarshal([]byte(l), &o))
		require.NotContains(c.t, out, o.CustomID, "an item ended twice")
		out[o.CustomID] = o
	}
	return out, nil
}

// waitEnded waits until the job has ended and returns it. It fails the test if
// the job has not ended within timeout.
func (c *cluster) waitEnded(job string, timeout time.Duration) submitter.Job {
	var j submitter.Job
	var err error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Second) {
		j, err = c.anyBatcher().Status(c.t.Context(), workspace, job)
		if err == nil && j.State.Ended() {
			return j
		}
	}
	c.t.Fatalf("job has not ended: %+v, %v", j, err)
	return j
}
