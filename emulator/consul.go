package emulator

import (
	"context"
	"encoding/base64"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

func (p *Platform) handleKey(ctx context.Context, q *fasthttp.RequestCtx, key string) {
	a := q.QueryArgs()
	switch {
	case q.IsGet() && a.Has("keys"):
		p.handleList(ctx, q, key)
	case q.IsGet():
		p.handleGet(ctx, q, key)
	case q.IsPut(), q.IsDelete():
		p.handleChange(ctx, q, key)
	default:
		q.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
	}
}

func (p *Platform) handleList(ctx context.Context, q *fasthttp.RequestCtx, prefix string) {
	keys, err := p.store.List(ctx, prefix)
	if err != nil {
		respondError(q, err)
		return
	}
	if len(keys) == 0 {
		q.NotFound()
		return
	}
	respondJSON(q, keys)
}

// handleChange writes or deletes a key if its version equals the parameter cas.
func (p *Platform) handleChange(ctx context.Context, q *fasthttp.RequestCtx, key string) {
	version, err := strconv.ParseUint(string(q.QueryArgs().Peek("cas")), 10, 64)
	if err != nil {
		q.Error("cas must be a number", fasthttp.StatusBadRequest)
		return
	}
	var ok bool
	if q.IsPut() {
		ok, err = p.store.CompareAndSwap(ctx, key, q.PostBody(), storer.Version(version))
	} else {
		ok, err = p.store.Delete(ctx, key, storer.Version(version))
	}
	if err != nil {
		respondError(q, err)
		return
	}
	respondJSON(q, ok)
}

// kvEntry is a value as Consul's API encodes it. Its fields are encoded under
// their Go names.
type kvEntry struct {
	Key         string
	Value       string
	Flags       int
	LockIndex   int
	CreateIndex storer.Version
	ModifyIndex storer.Version
}

func (p *Platform) handleGet(ctx context.Context, q *fasthttp.RequestCtx, key string) {
	v, err := p.readKey(ctx, q.QueryArgs(), key)
	if err != nil {
		respondError(q, err)
		return
	}
	if v.Version == 0 {
		q.NotFound()
		q.Response.Header.Set("X-Consul-Index", strconv.FormatUint(uint64(p.missingKeyIndex()), 10))
		return
	}
	q.Response.Header.Set("X-Consul-Index", strconv.FormatUint(uint64(v.Version), 10))
	respondJSON(q, []kvEntry{{
		Key:         key,
		Value:       base64.StdEncoding.EncodeToString(v.Data),
		CreateIndex: v.Version,
		ModifyIndex: v.Version,
	}})
}

// missingKeyIndex returns the index that is reported for a key that does not
// exist. It is at least 1, because a query with index 0 does not block.
func (p *Platform) missingKeyIndex() storer.Version { return max(p.store.Index(), 1) }

// defaultWait is the wait time of a blocking query that does not specify one.
const defaultWait = 300 * timer.Second

// readKey reads key. If a has a positive index, it is a blocking query, which
// waits until the version of key differs from it. For a missing key,
// missingKeyIndex takes the place of the version.
func (p *Platform) readKey(ctx context.Context, a *fasthttp.Args, key string) (storer.Value, error) {
	index, err := strconv.ParseUint(string(a.Peek("index")), 10, 64)
	if err != nil || index == 0 {
		return p.store.Get(ctx, key)
	}
	wait := defaultWait
	if d, err := time.ParseDuration(string(a.Peek("wait"))); err == nil {
		wait = timer.FromDuration(d)
	}
	v, err := p.store.Watch(ctx, key, storer.Version(index), wait)
	if err != nil || v.Version != 0 || p.missingKeyIndex() > storer.Version(index) {
		return v, err
	}
	return p.store.Watch(ctx, key, 0, wait)
}

func (p *Platform) handleHealth(ctx context.Context, q *fasthttp.RequestCtx) {
	hosts, err := p.store.Hosts(ctx)
	if err != nil {
		respondError(q, err)
		return
	}
	out := make([]healthEntry, len(hosts))
	for i, h := range hosts {
		out[i] = newHealthEntry(h)
	}
	respondJSON(q, out)
}

// healthEntry is a host as Consul's health endpoint encodes it. Its fields, and
// those of the types below, are encoded under their Go names.
type healthEntry struct {
	Node    healthNode
	Service healthService
	Checks  []healthCheck
}

type healthNode struct {
	Node    string
	Address string
}

type healthService struct {
	ID      string
	Service string
	Address string
	Port    int
}

type healthCheck struct {
	CheckID string
	Status  string
}

// newHealthEntry converts h. A host that is leaving has a critical maintenance
// check.
func newHealthEntry(h storer.Host) healthEntry {
	address, port, err := net.SplitHostPort(h.Address)
	if err != nil {
		address = h.Address
	}
	number, _ := strconv.Atoi(port)
	out := healthEntry{
		Node:    healthNode{Node: h.Name, Address: address},
		Service: healthService{ID: h.Name, Service: storer.DefaultHostService, Address: address, Port: number},
		Checks:  []healthCheck{{CheckID: "serfHealth", Status: "passing"}},
	}
	if h.Leaving {
		out.Checks = append(out.Checks, healthCheck{CheckID: "_node_maintenance", Status: "critical"})
	}
	return out
}
