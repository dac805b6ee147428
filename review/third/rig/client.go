//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// newItems returns n items of a job with bodies of size bytes.
func newItems(job string, n, size int, tokens int64) []item {
	var out []item
	for i := range n {
		id := fmt.Sprintf("%s%03x", job, i)
		out = append(out, item{
			ID: id, Path: batchPrefix + job + "/" + id, Body: bytes.Repeat([]byte{'b'}, size), Tokens: tokens,
			Headers: map[string]string{names.Model: "m", names.Tokens: fmt.Sprintf("%d,%d", tokens/2, tokens-tokens/2)},
		})
	}
	return out
}

// answer is an answer to a client.
type answer struct {
	status     int
	retryAfter time.Duration
	body       []byte
}

// call makes one call on a new channel.
func call(ctx context.Context, method, address, path, id, key string, body []byte, header map[string]string) (answer, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	q.Host = batchHost
	switch {
	case strings.HasPrefix(path, counterPrefix):
		q.Host = counterHost
	case strings.Contains(path, openJob):
		q.Host = openHost
	}
	q.Header.Set(names.Key, key)
	q.Header.Set(names.RequestID, id)
	for name, value := range header {
		q.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{status: r.StatusCode, body: data}
	if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a, nil
}

// submit submits a job on the route for batch jobs.
func (w *world) submit(address, job, key string, items []item, timeout time.Duration) (answer, error) {
	return w.submitAt(address, batchPrefix+job, job, key, items, timeout)
}

// submitAt submits a job at a path.
func (w *world) submitAt(address, path, job, key string, items []item, timeout time.Duration) (answer, error) {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	a, err := call(ctx, http.MethodPost, address, path, job, key, body, map[string]string{"Content-Type": "application/json"})
	w.logf("job %s of %d items, %d bytes, sent to %s: status %d, error %v", job, len(items), len(body), w.nameOf(address), a.status, err)
	return a, err
}

// results are the results of a job.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
		Reason string `json:"reason"`
	} `json:"results"`
}

// read reads results of a job.
func (w *world) read(address, job, key string, after int) (results, int, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
	defer cancel()
	a, err := call(ctx, http.MethodGet, address, fmt.Sprintf("/jackdawgate/lots/%s?after=%d", job, after), job+"-read", key, nil, map[string]string{names.Wait: "1000"})
	if err != nil || a.status != http.StatusOK {
		return results{}, a.status, err
	}
	var r results
	err = json.Unmarshal(a.body, &r)
	return r, a.status, err
}

// ask sends an ordinary streaming request with one attempt and reports how it ended.
func (w *world) ask(address, id, key string, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	a, err := call(ctx, http.MethodPost, address, counterPrefix+id, id, key, []byte("enquiry"), map[string]string{
		names.Model: "m", names.Tokens: "450,36", names.Deadline: strconv.FormatInt(timeout.Milliseconds(), 10),
	})
	return a.status, err
}

// nameOf returns the name of the host with an address for callers.
func (w *world) nameOf(address string) string {
	for _, h := range w.hosts {
		if h.callers == address {
			return h.name
		}
	}
	return address
}

var errNotReady = errors.New("the fleet did not become ready")

// waitReady waits until all entry hosts answer an ordinary request and a small batch job is
// complete, and reports the job.
func (w *world) waitReady() error {
	until := time.Now().Add(30 * time.Second)
	for _, h := range w.hosts {
		for n := 0; h.role == entryRole; n++ {
			if status, err := w.ask(h.callers, fmt.Sprintf("warm%s%d", h.name, n), officeKey, 2*time.Second); err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	entry := w.entries()[0].callers
	for n := 0; time.Now().Before(until); n++ {
		job := fmt.Sprintf("aa%04x", n)
		a, err := w.submit(entry, job, officeKey, newItems(job, 2, 100, 100), 4*time.Second)
		if err != nil || a.status != http.StatusAccepted {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for time.Now().Before(until) {
			if r, status, err := w.read(entry, job, officeKey, 0); err == nil && status == http.StatusOK && len(r.Results) == 2 {
				w.logf("the fleet is ready")
				return nil
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return errNotReady
}

// entries returns the entry hosts.
func (w *world) entries() []*host { return w.withRole(entryRole) }

// withRole returns the hosts of a role.
func (w *world) withRole(role string) []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*host
	for _, h := range w.hosts {
		if h.role == role {
			out = append(out, h)
		}
	}
	return out
}

// zoneNames are the data centres of a small site (pistas-norte).
var zoneNames = []string{"cant-a", "cant-b", "cant-c", "cant-d"}

// serverCount is the number of its servers.
const serverCount = 9

// startFleet starts servers, and an entry host and a bulk host in each data centre, and waits until they serve.
func (w *world) startFleet(events, size int, gap time.Duration, proxied bool) error {
	if err := w.configure(nil); err != nil {
		return err
	}
	for n := range serverCount {
		if _, err := w.addServer(zoneNames[n%len(zoneNames)], events, size, gap); err != nil {
			return err
		}
	}
	for _, zone := range zoneNames {
		if _, err := w.addHost(bulkRole, zone, storeMachine, proxied); err != nil {
			return err
		}
		if _, err := w.addHost(entryRole, zone, frontMachine, proxied); err != nil {
			return err
		}
	}
	return w.waitReady()
}

// handIn submits a job until it is accepted, as clients do: after a refusal or without an answer
// again at another host. It reports whether the job was accepted in time.
func (w *world) handIn(job, key string, items []item, first int, within time.Duration) bool {
	entries := w.entries()
	until := time.Now().Add(within)
	for n := first; time.Now().Before(until); n++ {
		a, err := w.submit(entries[n%len(entries)].callers, job, key, items, 4*time.Second)
		if err == nil && a.status == http.StatusAccepted {
			return true
		}
		time.Sleep(max(a.retryAfter, 200*time.Millisecond))
	}
	return false
}

// isDone reports whether all results of a job come before the given time.
func (w *world) isDone(job, key string, items int, until time.Time) bool {
	for n := 0; ; n++ {
		entries := w.entries()
		r, status, err := w.read(entries[n%len(entries)].callers, job, key, items-1)
		if err == nil && status == http.StatusOK && len(r.Results) == 1 {
			return true
		}
		if time.Now().After(until) {
			w.logf("job %s: last answer %d, error %v, next %d", job, status, err, r.Next)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}
