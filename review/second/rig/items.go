//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Submissions in the case "items". A submission of tooMany empty items has 3.9 MB, of 4.19 MB at
// most.
const (
	mostItems = 200
	tooMany   = 1_300_000
	rounds    = 6
)

// playItems sends submissions of legal size that list far more items than a job may have.
func playItems(r *rig) int {
	out := output{events: 36, bytes: 55, gap: 20 * time.Millisecond}
	if err := r.startFleet(4, 3, out); err != nil {
		return r.cannotRun(err)
	}
	c := newClient(10 * time.Second)
	n := mostItems
	if r.trouble {
		n = tooMany
	}
	body := []byte(`{"items":[{}` + strings.Repeat(`,{}`, n-1) + `]}`)
	asked, served := 0, 0
	for round := range rounds {
		for k, h := range r.entries() {
			id := fmt.Sprintf("feed%04x%08x", round, k)
			status, _, _, err := c.call(http.MethodPost, h.callers, "/pack/"+id, id, "key-1", body)
			r.note("%s: submission of %d items, %d bytes: status %d, %v", h.name, n, len(body), status, err)
			asked++
			if c.ask(h.callers, fmt.Sprintf("%016x", 0xa5c0000+asked), "key-2", out.events) {
				served++
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	r.note("%d of %d ordinary calls served", served, asked)
	return r.verdict(r.ends())
}
