package hoster

import (
	"context"
	"slices"

	"github.com/jackdawgate/jackdawgate/bootstrapper"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// quotaUpdateInterval is how often the rationer's hosts and quotas are updated.
const quotaUpdateInterval timer.Millis = 200

// configPollInterval is the time between two checks for the first configuration.
const configPollInterval timer.Millis = 5

// updateQuotas passes to r the time at which the last digest of each other entry host
// was received, and the quotas of the configuration.
func (b *base) updateQuotas(r *rationer.Rationer) {
	s := b.follower.Snapshot()
	var peers []rationer.Peer
	for name, m := range s.Members {
		if name == b.member.Name || m.Role != cataloger.Entry || m.Leaving {
			continue
		}
		at, _ := b.gossiper.LastReceived(name)
		peers = append(peers, rationer.Peer{Name: name, LastReceived: at})
	}
	r.SetPeers(peers)
	if s.Config == nil {
		return
	}
	limits := make(map[string]rationer.Limit)
	for _, w := range s.Config.Workspaces() {
		limits[w.Name] = gatekeeper.LimitOf(w)
	}
	r.Observe(limits)
}

// watchQuotas keeps the buckets up to date on a host that admits no requests itself.
func (b *base) watchQuotas(ctx context.Context, r *rationer.Rationer) {
	for timer.Sleep(ctx, quotaUpdateInterval) {
		b.updateQuotas(r)
	}
}

// newBootstrapper returns a Bootstrapper that takes over the remaining quota of each
// workspace for r from other hosts, and serves r's to them.
func (b *base) newBootstrapper(r *rationer.Rationer) *bootstrapper.Bootstrapper {
	v := b.settings.Bounds
	h := bootstrapper.New(bootstrapper.Options{
		Rationer: r, Caller: b.messenger, Hosts: b.levelSources, Clock: b.clock, Logger: b.logger,
		Tolerance: rationer.Tolerance{Window: v.QuotaWindow, Share: v.QuotaShare, Slack: float64(v.QuotaSlack)},
	})
	h.Serve(b.messenger)
	return h
}

// inherit takes over the remaining quota of each workspace once a configuration with
// the quotas has been received.
func (b *base) inherit(ctx context.Context, h *bootstrapper.Bootstrapper, r *rationer.Rationer) {
	for b.follower.Snapshot().Config == nil {
		if !timer.Sleep(ctx, configPollInterval) {
			return
		}
	}
	b.updateQuotas(r)
	h.Run(ctx)
}

// sourceRank returns the rank of m in the order of levelSources; the lowest comes
// first.
func (b *base) sourceRank(m cataloger.Member) int {
	n := 0
	if m.Role != cataloger.Bulk {
		n += 2
	}
	if m.DataCentre != b.member.DataCentre {
		n++
	}
	return n
}

// levelSources returns the addresses of the other hosts in the order in which levels
// are requested from them: bulk hosts, which restart less often than entry hosts, before
// entry hosts, and among each the hosts of this data centre first.
func (b *base) levelSources() []string {
	var list []cataloger.Member
	for name, m := range b.follower.Snapshot().Members {
		if name != b.member.Name && !m.Leaving {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y cataloger.Member) int { return b.sourceRank(x) - b.sourceRank(y) })
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.PeerAddress)
	}
	return out
}
