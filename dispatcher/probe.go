package dispatcher

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Paths of the probes that backend servers answer.
const (
	pathHealth = "/health"
	pathLoad   = "/load"
)

// maxProbes is the number of servers that are probed concurrently.
const maxProbes = 16

// probeLoop probes the health and load of each server that this host owns, until
// Close.
func (d *Dispatcher) probeLoop() {
	t := time.NewTicker(d.options.ProbeInterval.Duration())
	defer t.Stop()
	for {
		d.probeAll()
		if a, ok := d.options.Slots.(interface{ Apply() }); ok {
			a.Apply()
		}
		select {
		case <-t.C:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) probeAll() {
	s := d.options.Viewer.View()
	var g errgroup.Group
	g.SetLimit(maxProbes)
	owned := make(map[string]bool)
	for name, b := range s.Record.Servers {
		if !s.Owns(coordinator.ServerObject(name), d.options.Clock.Now()) {
			continue
		}
		owned[name] = true
		g.Go(func() error {
			d.probeServer(b)
			return nil
		})
	}
	// The probes report to loads and return no error.
	_ = g.Wait()
	d.cacheLogs.retain(owned)
	d.throttler.Retain(func(v cataloger.Incarnation) bool {
		_, ok := s.Record.Servers[v.ID]
		return ok
	})
}

func (d *Dispatcher) probeServer(b registrar.BackendServer) {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.ProbeTimeout.Duration())
	defer cancel()
	status, _, err := d.options.Exchanger.Get(ctx, "health-"+b.Name, b.Address, pathHealth)
	healthy := err == nil && status == fasthttp.StatusOK
	var r EngineReport
	if healthy {
		r = d.readLoad(ctx, b)
	}
	if d.ctx.Err() != nil {
		return
	}
	d.loads.recordProbe(b.Name, r, healthy, d.options.Clock.Now())
	if !healthy {
		d.options.Logger.Warn("probe failed", zap.String("server", b.Name), zap.Int("status", status), zap.Error(err))
		return
	}
	d.readEvents(ctx, b)
}

// readLoad reads the load report of a server. Plain services may have none.
func (d *Dispatcher) readLoad(ctx context.Context, b registrar.BackendServer) EngineReport {
	var r EngineReport
	status, body, err := d.options.Exchanger.Get(ctx, "load-"+b.Name, b.Address, pathLoad)
	if err != nil || status != fasthttp.StatusOK {
		return r
	}
	if err := json.Unmarshal(body, &r); err != nil {
		d.options.Logger.Warn("decode load report failed", zap.String("server", b.Name), zap.Error(err))
	}
	return r
}

// serversReply is the reply to MethodServers.
type serversReply struct {
	Loads []Load     `cbor:"1,keyasint"`
	Hint  *cacheHint `cbor:"2,keyasint,omitempty"`
}

// handleServers handles MethodServers. It replies with the loads of the servers that
// this host owns and at most one hint.
func (d *Dispatcher) handleServers(_ context.Context, _ messenger.Peer, _ []byte, send func([]byte) error) error {
	s := d.options.Viewer.View()
	now := d.options.Clock.Now()
	var r serversReply
	var owned []string
	for name := range s.Record.Servers {
		if s.Owns(coordinator.ServerObject(name), now) {
			r.Loads = append(r.Loads, d.ownLoad(name))
			owned = append(owned, name)
		}
	}
	r.Hint = d.nextHint(owned, now)
	b, err := cbor.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode loads")
	}
	return send(b)
}

// pullLoop fetches the loads of other hosts' servers, from a few hosts at a time in
// turn, until Close. Calls return the loads of the servers that they used; this loop
// covers the others. To query every host each time would take bandwidth that grows
// with the fleet.
func (d *Dispatcher) pullLoop() {
	t := time.NewTicker(d.options.PullInterval.Duration())
	defer t.Stop()
	next := 0
	for {
		next = d.pullRound(next)
		select {
		case <-t.C:
		case <-d.ctx.Done():
			return
		}
	}
}

// pullRound queries the hosts from position next of the record, and returns the
// position at which the next round starts.
func (d *Dispatcher) pullRound(next int) int {
	s := d.options.Viewer.View()
	members := slices.DeleteFunc(slices.Clone(s.Record.Members), func(m registrar.Member) bool { return m.Name == s.Self.Name })
	n := min(d.options.PullPeers, len(members))
	var g errgroup.Group
	for i := range n {
		m := members[(next+i)%len(members)]
		g.Go(func() error {
			d.pullFrom(m)
			return nil
		})
	}
	// A host that does not answer is queried again in a later round.
	_ = g.Wait()
	if len(members) == 0 {
		return 0
	}
	return (next + n) % len(members)
}

func (d *Dispatcher) pullFrom(m registrar.Member) {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.ProbeTimeout.Duration())
	defer cancel()
	err := d.options.Caller.Call(ctx, m.PeerAddress, MethodServers, nil, func(b []byte) error {
		var r serversReply
		if err := cbor.Unmarshal(b, &r); err != nil {
			return eris.Wrap(err, "decode loads")
		}
		for _, l := range r.Loads {
			d.loads.update(l)
		}
		d.applyPeerHint(r.Hint)
		return nil
	})
	if err != nil {
		d.options.Logger.Debug("fetch loads failed", zap.String("host", m.Name), zap.Error(err))
	}
}
