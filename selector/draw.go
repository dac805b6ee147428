package selector

import "math/bits"

const (
	// drawSize is the number of random candidates of which the best is chosen. With fewer, calls
	// go to slow servers more often; with more, hosts that choose at once meet at full servers
	// more often.
	drawSize = 6
	// maxDrawn is the maximum number of candidates that are compared: the random ones, the home
	// of the call's prompt and a server to probe.
	maxDrawn = drawSize + 2
)

// draw fills out with the indices of random candidates that may be chosen, and of two that are
// always compared: the home of the call's prompt, and a server that should get a request to
// show whether its limit has ended. It returns the number of indices.
func draw(out *[maxDrawn]int, r Request, list []Candidate, home int, usable bool) int {
	drawn, seen, probe, mayHome := 0, 0, -1, false
	for i := range list {
		c := &list[i]
		switch {
		case !r.permits(c, usable):
			continue
		case i == home:
			mayHome = true
			continue
		case c.Room.Probe && probe < 0:
			probe = i
			continue
		}
		// Reservoir sampling: each of the candidates seen so far is drawn with the same
		// probability.
		seen++
		if drawn < drawSize {
			out[drawn] = i
			drawn++
		} else if k := below(mix(^r.Seed, i), seen); k < drawSize {
			out[k] = i
		}
	}
	if mayHome {
		out[drawn] = home
		drawn++
	}
	if probe >= 0 {
		out[drawn] = probe
		drawn++
	}
	return drawn
}

// mix returns a pseudo-random number for the candidate with an index, by the step and the
// finalizer of SplitMix64.
func mix(seed uint64, index int) uint64 {
	x := seed + uint64(index)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// below maps a random number to one below n.
func below(x uint64, n int) int {
	hi, _ := bits.Mul64(x, uint64(n))
	return int(hi)
}
