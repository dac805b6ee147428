//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// item is an item of a batch job as a caller sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// job is a batch job of a caller.
type job struct {
	id, key string
	items   []item
}

// newJob returns a job of count items with bodies of this length.
func newJob(id, key string, count, length int, tokens int64) job {
	j := job{id: id, key: key}
	for n := range count {
		name := fmt.Sprintf("%s-%d", id, n)
		body := bytes.Repeat([]byte{byte('a' + n%26)}, length)
		copy(body, name)
		j.items = append(j.items, item{
			ID: name, Path: "/pack/" + id + "/" + name, Body: body, Tokens: tokens,
			Headers: map[string]string{names.Model: "m", names.Tokens: fmt.Sprintf("350,%d", tokens-350), names.Prompt: fmt.Sprintf("aa01:100,%x:250", name)},
		})
	}
	return j
}

// client makes calls, each on a new connection.
type client struct{ http http.Client }

func newClient(timeout time.Duration) *client {
	return &client{http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call makes one call and returns the status and the body of the answer.
func (c *client) call(method, address, path, id, key string, body []byte) (int, []byte, http.Header, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	q.Host = routeHost
	q.Header.Set(names.Key, key)
	q.Header.Set(names.RequestID, id)
	a, err := c.http.Do(q)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(a.Body)
	return a.StatusCode, got, a.Header, err
}

// submit submits a job once.
func (c *client) submit(address string, j job) (int, error) {
	body, err := json.Marshal(map[string]any{"items": j.items})
	if err != nil {
		return 0, err
	}
	status, _, _, err := c.call(http.MethodPost, address, "/pack/"+j.id, j.id, j.key, body)
	return status, err
}

// results is a page of results of a job.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// read reads the results of a job from a position on.
func (c *client) read(address string, j job, after int) (results, int, error) {
	var out results
	status, body, _, err := c.call(http.MethodGet, address, fmt.Sprintf("%s%s?after=%d", names.JobsPath, j.id, after), j.id+"-read", j.key, nil)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &out)
	}
	return out, status, err
}

// count reads all results of a job, page by page, and returns how many there are and how many
// items the job has. ok is false if a page could not be read.
func (c *client) count(address string, j job) (next, total int, ok bool) {
	for {
		out, status, err := c.read(address, j, next)
		if err != nil || status != http.StatusOK {
			return next, total, false
		}
		total = out.Total
		if out.Next <= next || out.Next >= total {
			return max(next, out.Next), total, true
		}
		next = out.Next
	}
}

// ask sends one streaming request of an ordinary caller and reports whether it got a whole answer.
func (c *client) ask(address, id, key string, events int) bool {
	status, body, _, err := c.call(http.MethodPost, address, "/ask/"+id, id, key, []byte("hint"))
	return err == nil && status == http.StatusOK && bytes.Count(body, []byte("data: ")) == events
}
