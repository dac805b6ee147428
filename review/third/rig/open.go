//go:build review

package main

import (
	"errors"
	"maps"
	"net/http"
	"time"
)

// openItems is the number of items of the job of openRoute, openReadFor how long it is read.
const (
	openItems   = 5
	openReadFor = 20 * time.Second
)

// openRoute has the operator add a second route for batch jobs, which is public or not. A client
// submits a job there with a key of its tenant, and reads it with the same key.
func openRoute(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(36, 60, 5*time.Millisecond, false); err != nil {
		return false, err
	}
	err := w.configure(func(c map[string]any) {
		c["version"] = 9
		routes := c["routes"].([]any)
		for _, r := range routes {
			if old := r.(map[string]any); old["kind"] == "batch" {
				added := maps.Clone(old)
				added["name"], added["host"], added["prefix"], added["public"] = "r-open", openHost, openPrefix, trouble
				c["routes"] = append(routes, any(added))
			}
		}
	})
	if err != nil {
		return false, err
	}
	w.logf("the operator has written version 9; it adds a route for batch jobs, public: %t", trouble)
	time.Sleep(configBound + settleBound)
	items := newItems(openJob, openItems, 500, 900)
	for i := range items {
		items[i].Path = openPrefix + openJob + "/" + items[i].ID
	}
	a, err := w.submitAt(w.entries()[0].callers, openPrefix+openJob, openJob, officeKey, items, 4*time.Second)
	if err != nil || a.status != http.StatusAccepted {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(settleBound)
	unknown, reads, listed := 0, 0, 0
	for until := time.Now().Add(openReadFor); time.Now().Before(until); time.Sleep(time.Second) {
		for _, h := range w.entries() {
			r, status, err := w.read(h.callers, openJob, officeKey, 0)
			w.logf("results of job %s read at %s: status %d, %d results, error %v", openJob, h.name, status, len(r.Results), err)
			reads++
			listed = max(listed, len(r.Results))
			if err == nil && (status == http.StatusNotFound || status == http.StatusGone) {
				unknown++
			}
		}
	}
	ran := 0
	for _, i := range items {
		ran += min(1, w.runsOf(i.ID))
	}
	w.logf("%d of %d reads: the job is unknown; items that ran: %d, results seen: %d", unknown, reads, ran, listed)
	return unknown > 0, nil
}
