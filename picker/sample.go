package picker

import (
	"math/rand/v2"
	"strconv"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
)

const (
	// sampleFrom is the number of servers from which a sample is chosen from.
	sampleThreshold = 256
	// sampleSize is how many servers a sample has besides the possible homes.
	sampleSize = 64
	// sampleHomes is how many servers may keep the shared parts of a prompt.
	sampleHomes = 4
)

// sampled are servers to choose from, of which the first homes may keep the
// shared parts of a call's prompt.
type subset struct {
	list  []cataloger.Server
	homes int
}

// all takes all servers.
func allOf(servers []cataloger.Server) subset { return subset{list: servers, homes: len(servers)} }

// sample takes some of many servers: by chance, since the best of some dozen is
// nearly as good as the best of all, and by the prompt, the same on all hosts.
func sample(servers []cataloger.Server, prompt string) subset {
	if len(servers) < sampleThreshold {
		return allOf(servers)
	}
	out := subset{list: make([]cataloger.Server, 0, sampleHomes+sampleSize)}
	if prompt != "" {
		out.homes = sampleHomes
	}
	for i := range out.homes {
		at := assigner.Score(prompt, strconv.Itoa(i)) % uint64(len(servers))
		out.list = append(out.list, servers[at])
	}
	for range sampleSize {
		out.list = append(out.list, servers[rand.IntN(len(servers))])
	}
	return out
}
