package batcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/stretchr/testify/require"
)

// generatedInput is an input of n items that is generated while it is read.
type generatedInput struct {
	next, n int
	prompt  string
	buf     bytes.Buffer
}

func (g *generatedInput) Read(p []byte) (int, error) {
	for g.buf.Len() < len(p) && g.next < g.n {
		fmt.Fprintf(&g.buf, `{"custom_id":"order-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":%q}]}}`+"\n", g.next, g.prompt)
		g.next++
	}
	if g.buf.Len() == 0 {
		return 0, io.EOF
	}
	return g.buf.Read(p)
}

// peakHeap starts to sample the heap in use. The function that it returns stops
// sampling and returns the maximum in bytes.
func peakHeap() func() uint64 {
	var peak atomic.Uint64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(50 * time.Millisecond)
		defer t.Stop()
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse))
			select {
			case <-t.C:
			case <-stop:
				return
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-done
		return peak.Load()
	}
}

// heapNow returns the size of the heap's live objects in bytes, after a garbage
// collection.
func heapNow() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// diskBytes returns the total size of the files in the hosts' data folders.
func diskBytes(t testing.TB, c *cluster) int64 {
	var n int64
	for _, h := range c.hosts {
		require.NoError(t, filepath.Walk(h.folder, func(_ string, i os.FileInfo, err error) error {
			if err == nil && !i.IsDir() {
				n += i.Size()
			}
			return nil
		}))
	}
	return n
}

// BenchmarkJob runs whole jobs with backend servers that answer immediately.
// Three hosts share the process, so that its figures are totals of all three.
func BenchmarkJob(b *testing.B) {
	for _, x := range []struct {
		items int
		sync  persister.SyncPolicy
		name  string
	}{
		{35_000, persister.SyncAlways, "items=35000,sync=always"},
		{350_000, persister.SyncAlways, "items=350000,sync=always"},
		{350_000, persister.SyncNever, "items=350000,sync=never"},
	} {
		b.Run(x.name, func(b *testing.B) {
			for range b.N {
				benchJob(b, x.items, x.sync)
			}
		})
	}
}

func benchJob(b *testing.B, items int, sync persister.SyncPolicy) {
	c := newClusterWith(b, 3, sync, nil)
	defer c.close()
	c.calls = nil
	body := []byte(`{"choices":[{"message":{"content":"` + strings.Repeat("a", 600) + `"}}]}`)
	c.do = func(_ context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
		_ = s.Head(200, nil)
		_ = s.Body(body)
		return requester.Answered{Status: 200, Usage: requester.Usage{PromptTokens: 100, CompletionTokens: 150}}
	}
	before, peak := heapNow(), peakHeap()
	begin := time.Now()
	j, err := c.hosts[0].batcher.Submit(b.Context(), submitter.SubmitRequest{
		Workspace: workspace, IdempotencyKey: "k", Endpoint: "/v1/chat/completions",
		Items: &generatedInput{n: items, prompt: strings.Repeat("order ", 50)},
	})
	require.NoError(b, err)
	submitted := time.Now()
	for {
		j, err = c.hosts[0].batcher.Status(b.Context(), workspace, j.ID)
		require.NoError(b, err)
		if j.State.Ended() {
			break
		}
		<-time.After(50 * time.Millisecond)
	}
	ended := time.Now()
	peakBytes := peak()
	require.Equal(b, int64(items), j.Counts.Done)
	b.ReportMetric(float64(items)/submitted.Sub(begin).Seconds(), "submit-items/s")
	b.ReportMetric(float64(items)/ended.Sub(submitted).Seconds(), "run-items/s")
	b.ReportMetric(float64(before)/(1<<20), "heap-before-MB")
	b.ReportMetric(float64(peakBytes)/(1<<20), "heap-peak-MB")
	b.ReportMetric(float64(heapNow())/(1<<20), "heap-after-MB")
	b.ReportMetric(float64(diskBytes(b, c))/float64(items), "disk-B/item")
}
