package harness

import (
	"math/rand/v2"
	"slices"
)

// Mutate calls each with n mutated copies of the samples. The mutations change,
// delete, insert and repeat bytes and truncate the end. The same seed gives the
// same copies.
func Mutate(seed uint64, n int, samples [][]byte, each func([]byte)) {
	r := rand.New(rand.NewPCG(seed, 1))
	for range n {
		b := slices.Clone(samples[r.IntN(len(samples))])
		for range 1 + r.IntN(4) {
			b = mutateOnce(r, b)
		}
		each(b)
	}
}

// mutateOnce applies one random mutation to b, which it may modify in place.
func mutateOnce(r *rand.Rand, b []byte) []byte {
	if len(b) == 0 {
		return []byte{byte(r.Uint32())}
	}
	at := r.IntN(len(b))
	switch r.IntN(5) {
	case 0:
		b[at] = byte(r.Uint32())
	case 1:
		b[at] ^= 1 << r.IntN(8)
	case 2:
		b = slices.Delete(b, at, at+1)
	case 3:
		b = slices.Insert(b, at, slices.Clone(b[at:min(len(b), at+1+r.IntN(16))])...)
	case 4:
		b = b[:at]
	}
	return b
}
