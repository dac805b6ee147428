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

// cluster is some hosts, their store and the backend servers behind them.
type cluster struct {
	t     testing.TB
	sync  persister.SyncPolicy
	net   *messenger.Memory
	store *storer.Memory
	hosts []*host
	bills *billBook

	mu     sync.Mutex
	record registrar.Record
	// do answers the calls of items.
	do func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome
	// calls counts how often each custom_id was begun.
	calls map[string]int
}

// host is one host; kill ends its process.
type host struct {
	c       *cluster
	name    string
	folder  string
	centre  string
	number  int
	up      bool
	local   *archiver.Store
	copier  *copier.Copier
	batcher *batcher.Batcher
	process *process
	options func(*batcher.Options)
}

// begun returns how often each item was begun.
func (c *cluster) begun() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

type billBook struct {
	mu    sync.Mutex
	bills map[string]opener.SegmentUsage
}

func (b *billBook) Bill(_ context.Context, u opener.SegmentUsage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if have, ok := b.bills[u.Segment]; ok && (have.Requests != u.Requests || have.Usage != u.Usage) {
		return fmt.Errorf("segment %s billed with other numbers", u.Segment)
	}
	b.bills[u.Segment] = u
	return nil
}

func (b *billBook) requests() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var n int64
	for _, u := range b.bills {
		n += u.Requests
	}
	return n
}

// newCluster starts n hosts, each with a data folder, in three data centres.
func newCluster(t testing.TB, n int, options func(*batcher.Options)) *cluster {
	return newClusterWith(t, n, persister.SyncNever, options)
}

func newClusterWith(t testing.TB, n int, sync persister.SyncPolicy, options func(*batcher.Options)) *cluster {
	c := &cluster{
		t: t, sync: sync, net: messenger.NewMemory(), store: storer.NewMemory(), calls: make(map[string]int),
		bills: &billBook{bills: make(map[string]opener.SegmentUsage)},
		do:    answerAfter(50 * time.Millisecond),
	}
	for i := range n {
		h := &host{c: c, name: fmt.Sprintf("h%d", i), centre: fmt.Sprintf("dc%d", i%3), folder: t.TempDir(), options: options}
		c.hosts = append(c.hosts, h)
		h.start()
		c.join(h)
	}
	time.Sleep(6 * time.Second)
	return c
}

// answerAfter answers every item with 200.
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
	h.number++
	p := &process{h: h, clock: timer.System(), self: registrar.Member{
		Name: h.name, Incarnation: fmt.Sprint(h.number), DataCentre: h.centre, PeerAddress: h.name, Bulk: true,
	}}
	p.dead, p.die = context.WithCancel(context.Background())
	local, err := archiver.Open(archiver.StoreOptions{Folder: h.folder, Sync: h.c.sync, Log: zap.NewNop()})
	require.NoError(h.c.t, err)
	peer := h.c.net.Host(h.name, messenger.Peer{Name: h.name, Incarnation: p.self.Incarnation})
	caller := deadCaller{Caller: peer, p: p}
	client := replicator.NewClient(replicator.ClientOptions{Caller: caller, Viewer: p, Log: zap.NewNop()})
	local.Register(peer, caller)
	o := batcher.Options{
		Store: deadStore{Store: h.c.store, p: p}, Archive: client, Local: local, Caller: caller, Viewer: p,
		Clock: timer.System(), Doer: p, Biller: h.c.bills, Log: zap.NewNop(),
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

// kill ends the process at once: nothing that it holds in memory is kept.
func (h *host) kill() {
	h.c.net.Remove(h.name)
	h.process.die()
	h.release()
}

// stop ends the process as planned.
func (h *host) stop() {
	h.batcher.Close()
	h.c.net.Remove(h.name)
	h.release()
	h.process.die()
}

func (h *host) release() {
	h.batcher.Close()
	h.copier.Close()
	require.NoError(h.c.t, h.local.Close())
	h.up = false
}

// join puts the host's process into the record, leave takes it out.
func (c *cluster) join(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = c.record.WithMember(h.process.self)
	c.spread()
}

// spread lets every process see the record; c.mu is held.
func (c *cluster) spread() {
	for _, h := range c.hosts {
		if h.up {
			h.process.see(c.record)
		}
	}
}

func (c *cluster) leave(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = c.record.WithoutMember(h.name, h.process.self.Incarnation)
	c.spread()
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.up {
			h.stop()
		}
	}
}

// any returns a host that is up.
func (c *cluster) any() *batcher.Batcher {
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

func lineOf(name string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":"m","name":%q}}`+"\n", name, name)
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
		b.WriteString(lineOf(n))
	}
	return b.String()
}

func request(key string, names []string) submitter.SubmitRequest {
	return submitter.SubmitRequest{
		Workspace: workspace, IdempotencyKey: key, Endpoint: "/v1/chat/completions", Items: strings.NewReader(input(names)),
	}
}

func (c *cluster) submit(key string, names []string) submitter.Job {
	j, err := c.any().Submit(c.t.Context(), request(key, names))
	require.NoError(c.t, err)
	return j
}

// outputLine is what the tests read of a line of output.
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

// output reads a job's results by custom_id; a name that occurs twice fails.
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

// untilEnded waits for the job's end, at most for a virtual time.
func (c *cluster) untilEnded(job string, most time.Duration) submitter.Job {
	var j submitter.Job
	var err error
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(time.Second) {
		j, err = c.any().Status(c.t.Context(), workspace, job)
		if err == nil && j.State.Ended() {
			return j
		}
	}
	c.t.Fatalf("job has not ended: %+v, %v", j, err)
	return j
}
