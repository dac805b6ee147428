package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/stretchr/testify/require"
)

// TestIndexPicksTheSameAsPick takes a fleet through changes and compares each pick, cached
// ones included, with the function Pick.
func TestIndexPicksTheSameAsPick(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var hosts []string
	x := assigner.NewIndex(nil)
	for round := range 60 {
		next := slices.DeleteFunc(slices.Clone(hosts), func(string) bool { return random.IntN(8) == 0 })
		for range random.IntN(12) {
			next = append(next, fmt.Sprintf("host-%d", random.IntN(400)))
		}
		slices.Sort(next)
		hosts = slices.Compact(next)
		x = x.Next(hosts)
		for range 2 {
			for o := range 300 {
				object := fmt.Sprint("object-", o)
				require.Equal(t, assigner.Pick(object, hosts), x.Pick(object), "round %d, %s", round, object)
			}
		}
	}
}
