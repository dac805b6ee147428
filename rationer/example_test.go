package rationer_test

import (
	"fmt"

	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
)

// Two hosts share a workspace's limit of 10 requests a second, with a burst of 4. Each passes
// the other what it admitted. In production, a host passes on its counts several times a
// second, and gets limits and peers from the configuration.
func Example() {
	clock := &harness.Clock{Time: 1000}
	limit := rationer.Limit{Rate: 10, Burst: 4}
	hosts := map[string]*rationer.Rationer{"a": rationer.New(clock), "b": rationer.New(clock)}
	for _, h := range hosts {
		h.Observe(map[string]rationer.Limit{"kitchen": limit})
	}
	exchange := func() {
		hosts["a"].SetPeers([]rationer.Peer{{Name: "b", LastReceived: clock.Time}})
		hosts["b"].SetPeers([]rationer.Peer{{Name: "a", LastReceived: clock.Time}})
		hosts["a"].Merge("b", "b-1", hosts["b"].Spent())
		hosts["b"].Merge("a", "a-1", hosts["a"].Spent())
	}
	for range 10 {
		exchange()
		clock.Time += 100
	}

	admitted := 0
	for hosts["a"].Admit("kitchen", limit).Admitted {
		admitted++
		exchange()
	}
	fmt.Println("admitted at a:", admitted)
	d := hosts["b"].Admit("kitchen", limit)
	fmt.Println("admitted at b:", d.Admitted, "- again in", d.RetryAfter, "ms")
	// Output:
	// admitted at a: 4
	// admitted at b: false - again in 100 ms
}
