package warmer_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/warmer"
)

// BenchmarkShareOf derives a host's share of one cold server, which happens once for each cold
// server and each change of the members.
func BenchmarkShareOf(b *testing.B) {
	for _, n := range []int{65, 360, 3600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var hosts []string
			for i := range n {
				hosts = append(hosts, "host-"+strconv.Itoa(i))
			}
			slices.Sort(hosts)
			v := cataloger.Incarnation{ID: "s", StartedAt: 1}
			for b.Loop() {
				warmer.ShareOf("host-7", hosts, v, 14)
			}
		})
	}
}
