package picker

import (
	"math/rand/v2"
	"strconv"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
)

const (
	// sampleThreshold is the number of servers from which on only a sample of them
	// is considered.
	sampleThreshold = 256
	// sampleSize is the number of random servers in a sample.
	sampleSize = 64
	// sampleHomes is the number of home servers of a prompt in a sample. These may
	// have the shared parts of the prompt in their caches.
	sampleHomes = 4
)

// subset is the list of servers to choose from. The first homes of them may be home
// servers of the call's prompt.
type subset struct {
	list  []cataloger.Server
	homes int
}

// allOf returns the subset of all servers, each of which may be a home.
func allOf(servers []cataloger.Server) subset { return subset{list: servers, homes: len(servers)} }

// sample returns a subset if there are many servers: random ones, since the best of a
// few dozen is nearly as good as the best of all, and the home servers of the prompt,
// which are the same on all hosts.
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
