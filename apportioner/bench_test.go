package apportioner_test

import (
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/tester/harness"
)

// BenchmarkUpdate is one update of the demands of all workspaces, and the first decision after
// it, which derives the claims.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{85, 220, 880} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := &harness.Clock{Time: 1000}
			a := apportioner.New(c)
			uses := make(map[string]apportioner.Use, n)
			call := apportioner.Call{Service: "s", Workspace: "w0", Slots: 80000, Run: 700, Wait: 100}
			count := 0.0
			for b.Loop() {
				c.Time += 100
				count++
				for i := range n {
					uses["w"+strconv.Itoa(i)] = apportioner.Use{Weight: float64(1 + i%9), Own: count, Fleet: 3600 * count}
				}
				a.Update(uses, apportioner.Hearing{Heard: 3600, Hosts: 3600})
				a.Ask(call)
			}
		})
	}
}
