//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Sizes and times of removedRoute.
const (
	removalItems = 10
	// removalReadFor is how long the results are read after the change of the configuration,
	// from when it must be in force on.
	removalReadFor = 10 * time.Second
	// configBound and settleBound are the site's configMs and settleMs.
	configBound = 2 * time.Second
	settleBound = time.Second
)

// removedRoute has the operator remove the route of a complete batch job, and its tenant's clients
// read the results again.
func removedRoute(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(36, 60, 5*time.Millisecond, false); err != nil {
		return false, err
	}
	const job = "ab0001"
	items := newItems(job, removalItems, 500, 900)
	if !w.handIn(job, officeKey, items, 0, 10*time.Second) || !w.isDone(job, officeKey, removalItems, time.Now().Add(20*time.Second)) {
		return false, errors.New("the job was not accepted and done")
	}
	before, status, err := w.read(w.entries()[0].callers, job, officeKey, 0)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the results could not be read: status %d, %w", status, err)
	}
	w.logf("job %s has %d results of %d", job, len(before.Results), before.Total)
	err = w.configure(func(c map[string]any) {
		c["version"] = 9
		if trouble {
			routes := c["routes"].([]any)
			c["routes"] = slices.DeleteFunc(routes, func(r any) bool { return r.(map[string]any)["kind"] == "batch" })
		}
	})
	if err != nil {
		return false, err
	}
	w.logf("the operator has written version 9; it removes the route of batch jobs: %t", trouble)
	time.Sleep(configBound + settleBound)
	unknown, reads := 0, 0
	for until := time.Now().Add(removalReadFor); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, h := range w.entries() {
			r, status, err := w.read(h.callers, job, officeKey, 0)
			w.logf("results of job %s read at %s: status %d, %d results, error %v", job, h.name, status, len(r.Results), err)
			reads++
			if err == nil && (status == http.StatusNotFound || status == http.StatusGone || (status == http.StatusOK && len(r.Results) < len(before.Results))) {
				unknown++
			}
		}
	}
	w.logf("%d of %d reads: the job is unknown, or results are missing", unknown, reads)
	return unknown > 0, nil
}
