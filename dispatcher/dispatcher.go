// Package dispatcher runs calls: it implements requester.Doer.
//
// # Path of a call
//
// The host that receives a call (the entry host) chooses a backend server and passes
// the call to the host that owns the ledger of that server (its keeper host), over
// package messenger unless it is the same host. The keeper host waits for a slot,
// checks immediately before the first byte that it still owns the server, and makes
// the exchange. Answers are returned in frames that contain whole events.
//
// Passing calls through the keeper host costs a hop. The alternative, to lend slots
// to entry hosts, saves the hop, but then no host has an exact count of the calls
// that a server runs, a batch call cannot be evicted at once, and every entry host
// holds connections to every server.
//
// # Cache events
//
// After each probe, the keeper host of a server reads the server's cache events,
// which arrive late and with gaps. They become hints (Options.Hints) on this host: a
// hint is a block that a server probably has in its prefix cache, or no longer has. A
// few hints are included in the loads that other hosts fetch, within a limit
// of bytes per second; the rest is dropped. A lost eviction leaves a wrong hint,
// which costs a cache miss. A restart, a large gap and, usually, the loss of an event
// that the cache was cleared are detected, and the hints about the server are
// discarded.
//
// # State of a call
//
// A call is not run, maybe run, or ended (type state). It is not run as long as each
// attempt sent no byte to a server or was explicitly refused by the server. It is
// maybe run once an attempt may have run without its complete answer being passed on,
// and never returns to the first state: a later attempt that did not run does not make the
// call "not run". If the connection between two hosts is lost, the entry host cannot
// determine whether the keeper host sent the call; the call then counts as maybe run.
// A call has ended when it was answered or, for a batch call, evicted.
//
// A call that is not repeatable is never attempted again once it is maybe run. A
// repeatable call is attempted again on another server, within the timeout of the
// caller and the retry budget of the host, if nothing of an answer has been passed on
// or, for a stream, if the last attempt received the head of a successful answer; the
// next server resumes where the stream stopped. An incomplete answer is never reported
// as complete.
package dispatcher

import (
	"context"
	"sync"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/throttler"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Methods that a Dispatcher handles for other hosts.
const (
	MethodRun     messenger.Method = "dispatcher/run"
	MethodServers messenger.Method = "dispatcher/servers"
)

// Options configures a Dispatcher. Viewer, Caller, Registry, Exchanger and Slots are
// required.
type Options struct {
	Viewer   coordinator.Viewer
	Caller   messenger.Caller
	Registry messenger.Registry
	// Exchanger makes the exchanges with backend servers. The Dispatcher does not
	// close it.
	Exchanger *exchanger.Exchanger
	// Slots grants slots of the backend servers that this host owns.
	Slots Slots
	// Chooser chooses backend servers. The default chooses the server with the fewest
	// calls in flight relative to its slots, according to the loads recorded on this
	// host.
	Chooser Chooser
	// Finder finds the servers to choose from. The default examines all servers.
	Finder Finder
	// Health receives the failures and successes of servers. It may be nil.
	Health Health
	// Hints receives what servers have cached, according to their cache events. If it
	// is nil, the events are not read.
	Hints Hints
	// Suspects records the calls that were in flight when servers crashed. It may be
	// nil.
	Suspects Suspects
	Clock    timer.Clock
	Logger   *zap.Logger
	Meter    metric.Meter

	// DefaultTimeout limits a call whose Timeout is zero.
	DefaultTimeout timer.Millis
	// RetryShare is the number of retries allowed per call, on average.
	RetryShare float64
	// RetryBurst is the number of retries that may be made at once.
	RetryBurst float64
	// BackoffBase and BackoffMax limit the wait before another attempt: the limit
	// starts at BackoffBase and doubles with each attempt up to BackoffMax.
	BackoffBase timer.Millis
	BackoffMax  timer.Millis
	// MaxBufferedAnswer is the number of bytes of an answer that is not a stream that
	// are buffered until the answer is complete. A longer answer is passed on as it
	// arrives, and its call can no longer be retried.
	MaxBufferedAnswer int
	// SuspectWait is how long a suspect, a call that was in flight when a server
	// crashed, waits until no other suspect runs on its server before it is refused.
	SuspectWait timer.Millis
	// KeeperWait is how long a call waits for a hand-over before it is refused.
	KeeperWait timer.Millis
	// ProbeInterval is the interval between probes of each server that this host
	// owns.
	ProbeInterval timer.Millis
	// ProbeTimeout limits one probe, and one fetch of loads from another host.
	ProbeTimeout timer.Millis
	// PullInterval is the interval between fetches of the loads of other hosts'
	// servers; PullPeers is the number of hosts that are queried each time.
	PullInterval timer.Millis
	PullPeers    int
}

const (
	defaultTimeout           = 120 * timer.Second
	defaultRetryShare        = 0.1
	defaultRetryBurst        = 10
	defaultBackoffBase       = 20 * timer.Millis(1)
	defaultBackoffMax        = 1 * timer.Second
	defaultKeeperWait        = 2 * timer.Second
	defaultSuspectWait       = 10 * timer.Second
	defaultMaxBufferedAnswer = 1 << 20
	defaultProbeInterval     = 500 * timer.Millis(1)
	defaultProbeTimeout      = 1 * timer.Second
	defaultPullInterval      = 1 * timer.Second
	defaultPullPeers         = 8
)

func (o Options) withDefaults() Options {
	if o.Chooser == nil {
		o.Chooser = LeastInFlight{}
	}
	if o.Finder == nil {
		o.Finder = ScanFinder{}
	}
	if o.Health == nil {
		o.Health = noHealth{}
	}
	if o.Clock == nil {
		o.Clock = timer.System()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	defaulter.Set(&o.DefaultTimeout, defaultTimeout)
	defaulter.Set(&o.RetryShare, defaultRetryShare)
	defaulter.Set(&o.RetryBurst, defaultRetryBurst)
	defaulter.Set(&o.BackoffBase, defaultBackoffBase)
	defaulter.Set(&o.BackoffMax, defaultBackoffMax)
	defaulter.Set(&o.SuspectWait, defaultSuspectWait)
	defaulter.Set(&o.KeeperWait, defaultKeeperWait)
	defaulter.Set(&o.MaxBufferedAnswer, defaultMaxBufferedAnswer)
	defaulter.Set(&o.ProbeInterval, defaultProbeInterval)
	defaulter.Set(&o.ProbeTimeout, defaultProbeTimeout)
	defaulter.Set(&o.PullInterval, defaultPullInterval)
	defaulter.Set(&o.PullPeers, defaultPullPeers)
	return o
}

// Suspects records which calls may have crashed backend servers. Its methods are
// called by many goroutines. See also Isolator.
type Suspects interface {
	// Refused reports whether a call is refused, and for how long.
	Refused(c suspector.Call) (timer.Millis, bool)
	// RecordCrash records that server crashed with these calls in flight. It returns the
	// record for the hosts that sent the calls.
	RecordCrash(server string, calls []suspector.Call) suspector.Records
	// Merge applies a record that another host returned.
	Merge(r suspector.Records)
}

// Dispatcher runs calls. It is safe for concurrent use.
type Dispatcher struct {
	options    Options
	budget     *retryBudget
	loads      *loads
	inFlight   *inFlightCalls
	cacheLogs  *cacheLogs
	hintPicker hintPicker
	fallback   *fallbackCalls
	throttler  *throttler.Throttler
	metrics    metrics

	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
}

var _ requester.Doer = (*Dispatcher)(nil)

// New returns a Dispatcher after it has registered its methods. It does not probe
// before Start.
func New(o Options) (*Dispatcher, error) {
	o = o.withDefaults()
	m, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{
		options:   o,
		budget:    newRetryBudget(o.RetryShare, o.RetryBurst),
		loads:     newLoads(),
		inFlight:  newInFlightCalls(),
		cacheLogs: newCacheLogs(),
		fallback:  newFallbackCalls(),
		throttler: throttler.New(o.Clock, o.Logger),
		metrics:   m,
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	o.Registry.Handle(MethodRun, d.handleRun)
	o.Registry.Handle(MethodServers, d.handleServers)
	return d, nil
}

// Start starts to probe the servers of this host and to fetch the loads of the
// others.
func (d *Dispatcher) Start() {
	d.goroutines.Go(d.probeLoop)
	d.goroutines.Go(d.pullLoop)
}

// Close stops the goroutines that Start started and waits for them. Calls end with
// their own contexts.
func (d *Dispatcher) Close() {
	d.cancel()
	d.goroutines.Wait()
}
