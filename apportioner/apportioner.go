// Package apportioner divides the capacity of a service among workspaces while its servers
// have no free slot.
//
// Capacity is divided by weighted max-min fairness (water-filling) within each class of
// priority, and the classes are served in the order of their urgency. What a workspace may
// send is the share it would have if its own demand were unbounded, given the demands of the
// others. So what others leave unused is lent at once, and a demand that was measured while
// calls were refused, and is therefore too low, does not lower the workspace's own share.
//
// The hosts do not coordinate. Each derives the shares from the counts of admitted requests
// that digests carry, and takes its part of each workspace's share. The parts of hosts that
// hear one another add up to the share once the counts have settled. Hosts that do not hear
// all others divide that part of the capacity that corresponds to their number.
//
// A decision depends on the capacity, on what waits at the chosen server, and on the rates
// and weights of workspaces. It depends neither on the time that a caller has left nor on
// whether a request is a repeated one.
package apportioner

import "slices"

// Claim is what one workspace asks for in one class of priority.
type Claim struct {
	Workspace string
	// First and Last are the ranks of the most and the least urgent class that the claim may be
	// of; they are equal if its class is known. The rank of a class is the number of more urgent
	// classes.
	First, Last int
	// Weight and Demand are in requests a second. Weight is positive.
	Weight, Demand float64
}

// Claims are the claims of all workspaces, in the order in which a rising level satisfies
// them.
type Claims []Claim

// NewClaims returns the claims of list.
func NewClaims(list []Claim) Claims {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b Claim) int {
		switch x, y := a.Demand*b.Weight, b.Demand*a.Weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return out
}

// left returns what the more urgent classes leave of a capacity to a class, in requests a
// second.
func (c Claims) left(capacity float64, rank int) float64 {
	for _, x := range c {
		if x.Last < rank {
			capacity -= x.Demand
		}
	}
	return max(0, capacity)
}

// rivals reports whether x competes with the calls of a workspace in a class. A claim whose
// class is not known competes with those of each class that it may be of.
func (x Claim) rivals(workspace string, rank int) bool {
	return x.Workspace != workspace && x.First <= rank && rank <= x.Last
}

// Share returns what a workspace with this weight may have of a capacity, in requests a
// second, in a class: its max-min share for an unbounded demand of its own.
func (c Claims) Share(capacity float64, workspace string, rank int, weight float64) float64 {
	left := c.left(capacity, rank)
	weights := c.weights(workspace, rank) + weight
	for _, x := range c {
		if !x.rivals(workspace, rank) {
			continue
		}
		if x.Demand*weights > left*x.Weight {
			break
		}
		left -= x.Demand
		weights -= x.Weight
	}
	return max(0, left) * weight / max(weights, weight)
}

// Own returns the part of a capacity that is the workspace's own in a class, in requests a
// second, whatever the others of the class ask for. Only the most urgent class with a demand
// has such parts.
func (c Claims) Own(capacity float64, workspace string, rank int, weight float64) float64 {
	if c.left(capacity, rank) < capacity {
		return 0
	}
	return capacity * weight / (c.weights(workspace, rank) + weight)
}

// minDemand is the demand, in requests a second, up to which a workspace counts as idle:
// averages never reach zero.
const minDemand = 0.01

// alone reports whether no other workspace asks for anything, so that no one would gain by a
// refusal.
func (c Claims) alone(workspace string) bool {
	return !slices.ContainsFunc(c, func(x Claim) bool { return x.Workspace != workspace && x.Demand > minDemand })
}

// weights returns the sum of the weights of the rivals of a workspace in a class.
func (c Claims) weights(workspace string, rank int) float64 {
	sum := 0.0
	for _, x := range c {
		if x.rivals(workspace, rank) {
			sum += x.Weight
		}
	}
	return sum
}
