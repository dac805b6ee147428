package experimenter

import (
	"context"
	"slices"
	"time"

	"github.com/jackdawgate/jackdawgate/submitter"
)

// trial describes one row of an experiment: the policies to use, the load to apply
// and the faults to inject.
type trial struct {
	name     string
	policies policies
	flows    []flow
	// batch is the number of batch items that each workspace submits.
	batch int
	// injectFaults injects faults until ctx is done. It may be nil.
	injectFaults func(ctx context.Context, f *fleet)
}

// batchWarmUp is how long batch runs before the measurement starts, since its
// window has to grow first.
const batchWarmUp = 2 * time.Second

// batchAlone is the name of the row without online load, which measures the
// capacity of the engines.
const batchAlone = "batch-alone"

// run starts a fleet, applies the load of t and returns the measurements.
func (t trial) run(ctx context.Context, o Options) (row Row, err error) {
	f, err := startFleet(ctx, o.fleetSpec(t.flows), t.policies)
	if err != nil {
		return Row{}, err
	}
	defer func() {
		if e := f.close(); err == nil {
			err = e
		}
	}()
	var b *batchLoad
	if t.batch > 0 {
		if b, err = startBatch(ctx, f, workspacesOf(t.flows), t.batch, o.Tokens); err != nil {
			return Row{}, err
		}
		if !sleepWithin(ctx, batchWarmUp, time.Now().Add(2*batchWarmUp)) {
			return Row{}, ctx.Err()
		}
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if t.injectFaults != nil {
			t.injectFaults(faultCtx, f)
		}
	}()
	row, err = t.measure(ctx, f, b, o)
	stopFaults()
	<-ended
	if err != nil {
		return row, err
	}
	row.DuplicateExecutions = f.duplicateExecutions()
	if b == nil {
		return row, nil
	}
	end, err := b.stop(ctx)
	row.Lost += end.wrong
	row.DuplicateResults = end.duplicates
	return row, err
}

// measure applies the online load to f for the duration in o and returns the
// measurements over that time. If b is not nil, they include the progress of its
// jobs.
func (t trial) measure(ctx context.Context, f *fleet, b *batchLoad, o Options) (Row, error) {
	var before, after submitter.Counts
	var err error
	if b != nil {
		if before, err = b.counts(ctx); err != nil {
			return Row{}, err
		}
	}
	window, stopWindow := context.WithTimeout(ctx, o.duration())
	defer stopWindow()
	counted := make(chan error, 1)
	go func() {
		<-window.Done()
		var err error
		if b != nil {
			after, err = b.counts(ctx)
		}
		counted <- err
	}()
	online := runOnline(ctx, f, t.flows, o.duration(), o.Seed)
	if err := <-counted; err != nil {
		return Row{}, err
	}
	row := newRow(t.name, online, float64(after.Done-before.Done), o)
	row.Lost += int(after.Failed)
	return row, ctx.Err()
}

// newRow returns the row of the given name from the statistics of the online load
// and the number of batch items that were done.
func newRow(name string, t *onlineStats, done float64, o Options) Row {
	seconds := o.duration().Seconds()
	return Row{
		Policy:              name,
		OnlineP50:           quantileMillis(t.latency, 50),
		OnlineP99:           quantileMillis(t.latency, 99),
		FirstTokenP50:       quantileMillis(t.firstToken, 50),
		FirstTokenP99:       quantileMillis(t.firstToken, 99),
		OnlinePerSecond:     float64(t.answered) / seconds,
		BatchPerSecond:      done / seconds,
		WorstWorkspaceShare: t.worstShare(),
		WrongfulRefusals:    t.refusals,
		Lost:                t.lost,
		LostReasons:         t.lostReasons,
		RefusalCodes:        t.refusalCodes,
		onlineTokens:        float64(t.answeredTokens) / seconds,
		batchTokens:         done * float64(o.Tokens) / seconds,
	}
}

func (o Options) fleetSpec(flows []flow) fleetSpec {
	return fleetSpec{hosts: o.Hosts, engines: o.Engines, engine: o.Engine, workspaces: workspacesOf(flows)}
}

// defaultWorkspaces are the workspaces of the online load, and of batch in rows
// without online load.
var defaultWorkspaces = []string{"w0", "w1", "w2", "w3"}

func workspacesOf(flows []flow) []string {
	if len(flows) == 0 {
		return defaultWorkspaces
	}
	out := make([]string, len(flows))
	for i, f := range flows {
		out[i] = f.workspace
	}
	return out
}

const (
	callerTimeout = 10 * time.Second
	// fairTimeout is short, so that a request that waits long counts as lost.
	fairTimeout = 4 * time.Second
	burstEvery  = 2 * time.Second
	// burstShare is the number of requests in one burst as a fraction of the
	// engines' slots.
	burstShare = 0.4
)

// evenFlows returns flows that divide the online load equally between the
// workspaces. Bursts make up at most half of the load. The remaining requests
// arrive at random instants.
func (o Options) evenFlows() []flow {
	perSecond := o.capacity() * o.OnlineShare / float64(o.Tokens)
	burst := min(int(burstShare*float64(o.Engines*o.Engine.Slots)), int(perSecond*burstEvery.Seconds()/2))
	single := perSecond - float64(burst)/burstEvery.Seconds()
	n := len(defaultWorkspaces)
	flows := make([]flow, n)
	for i, w := range defaultWorkspaces {
		flows[i] = flow{
			workspace: w, perSecond: single / float64(n), burstSize: burst / n,
			burstEvery: burstEvery, tokens: o.Tokens, timeout: callerTimeout,
		}
	}
	return flows
}

// batchItems returns a number of batch items per workspace that is more than the
// engines can complete while a row runs.
func (o Options) batchItems() int {
	seconds := float64(o.Seconds) + 2*batchWarmUp.Seconds()
	return int(1.2*seconds*o.capacity()/float64(o.Tokens)/float64(len(defaultWorkspaces))) + o.Engine.Slots
}

// Names of policies in the settings.
const (
	shareYield   = "yielding"
	shareNaive   = "sharing"
	shareReserve = "fixed-reserve"
	shareNoBatch = "no-batch"
	routeScored  = "scored"
)

// yieldTrials compares the policies by which batch and online load share engines.
func yieldTrials(o Options) []trial {
	flows, items := o.evenFlows(), o.batchItems()
	return []trial{
		{name: shareNoBatch, policies: policies{share: shareNoBatch, route: routeScored}, flows: flows},
		{name: batchAlone, policies: policies{share: shareYield, route: routeScored}, batch: items},
		{name: shareNaive, policies: policies{share: shareNaive, route: routeScored}, flows: flows, batch: items},
		{
			name:     shareReserve,
			policies: policies{share: shareReserve, route: routeScored, reserve: o.Engine.Slots / 2},
			flows:    flows, batch: items,
		},
		{name: shareYield, policies: policies{share: shareYield, route: routeScored}, flows: flows, batch: items},
	}
}

// greedyFactor is the rate of the greedy workspace divided by that of each other
// workspace.
const greedyFactor = 5

// fairTrials compares how policies divide the engines when one workspace sends
// several times as many requests as each of the others, so that the total exceeds
// the capacity of the engines. The latencies are those of the other workspaces.
func fairTrials(o Options) []trial {
	o.OnlineShare = 0.8
	even := o.evenFlows()
	for i := range even {
		even[i].burstSize = 0
		even[i].perSecond = o.capacity() * o.OnlineShare / float64(o.Tokens) / float64(len(even))
		even[i].timeout = fairTimeout
	}
	greedy := slices.Clone(even)
	greedy[0].perSecond *= greedyFactor
	greedy[0].greedy = true
	return []trial{
		{name: "no-greedy-workspace", policies: policies{share: shareYield, route: routeScored}, flows: even},
		{name: shareNaive, policies: policies{share: shareNaive, route: routeScored}, flows: greedy},
		{name: shareYield, policies: policies{share: shareYield, route: routeScored}, flows: greedy},
	}
}

// faultTrials injects faults under the default policies.
func faultTrials(o Options) []trial {
	p := policies{share: shareYield, route: routeScored}
	flows, items := o.evenFlows(), o.batchItems()
	return []trial{
		{name: "no-fault", policies: p, flows: flows, batch: items},
		{name: "server-dies", policies: p, flows: flows, batch: items, injectFaults: crashServers},
		{name: "host-killed", policies: p, flows: flows, batch: items, injectFaults: killHost},
		{name: "store-out", policies: p, flows: flows, batch: items, injectFaults: interruptStore},
	}
}

// sharedPrefixes is the number of prompt prefixes that the callers share.
const sharedPrefixes = 24

// routeTrials compares the policies by which a host chooses a backend server, with
// and without prompt prefixes that callers share.
func routeTrials(o Options) []trial {
	var out []trial
	for _, prefixes := range []int{0, sharedPrefixes} {
		flows := o.evenFlows()
		suffix := ""
		if prefixes > 0 {
			suffix = "-shared-prefixes"
		}
		for i := range flows {
			flows[i].prefixes = prefixes
		}
		for _, r := range []string{"random", "round-robin", "least-load", routeScored} {
			out = append(out, trial{name: r + suffix, policies: policies{share: shareYield, route: r}, flows: flows})
		}
	}
	return out
}
