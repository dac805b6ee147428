package runner

import (
	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/certifier"
	"github.com/jackdawgate/jackdawgate/controller"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/copier"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/router"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/rotisserie/eris"
)

// maxKeeperQueue is the maximum number of calls of each class that may wait for
// one backend server.
const maxKeeperQueue = 1024

// makeStore wraps the store with a limit and metrics of its calls. Consul is used
// unless Options name another store.
func (h *Host) makeStore() error {
	inner := h.store
	if inner == nil {
		inner = storer.NewConsul(h.settings.Store.Address, storer.ConsulOptions{CallTimeout: h.settings.Store.Timeout})
	}
	counted, err := storer.NewCounted(inner, h.meters.meter, storer.CountedOptions{CallsPerSecond: h.settings.Store.CallsPerSecond})
	if err != nil {
		return eris.Wrap(err, "count store calls")
	}
	h.store = counted
	return nil
}

// makeMessenger makes the messenger that connects this host to its peers, with
// mutual TLS if the settings name a peer certificate.
func (h *Host) makeMessenger() error {
	o := messenger.Options{
		Self:   messenger.Peer{Name: h.self.Name, Incarnation: h.self.Incarnation},
		Logger: h.logger,
		Memory: h.budget.Messages,
	}
	if f := peerCertificateFiles(h.settings.TLS); f.Certificate != "" {
		c, err := certifier.New(f)
		if err != nil {
			return eris.Wrap(err, "peers' certificate")
		}
		o.ServerTLS, o.ClientTLS = c.MutualServerConfig(), c.MutualClientConfig()
	}
	h.messenger = messenger.New(o)
	return nil
}

// makeController makes the controller, which maintains the record and the
// permission.
func (h *Host) makeController() error {
	t := coordinator.DefaultTiming()
	t.ConfirmInterval = h.settings.Control.ConfirmInterval
	t.PermissionDuration = h.settings.Control.Permission
	t.UnreachableTimeout = h.settings.Control.Silence
	var err error
	h.controller, err = controller.New(controller.Options{
		Self: h.self, Seeds: h.settings.Host.Seeds, Timing: t, Store: h.store, Caller: h.messenger,
		Registry: h.messenger, Clock: h.clock, Logger: h.logger, Meter: h.meters.meter,
	})
	return eris.Wrap(err, "controller")
}

// makeLimiter makes the limiter of workspaces' requests.
func (h *Host) makeLimiter() error {
	o := limiter.DefaultOptions()
	o.Scheme, _ = limiter.SchemeNamed(h.settings.Limits.Scheme)
	h.limiter = limiter.New(h.controller, h.messenger, h.messenger, h.clock, h.logger, h.meters.meter, o)
	return nil
}

// makeDispatcher makes the dispatcher and the components that it uses to choose
// and call backend servers.
func (h *Host) makeDispatcher() error {
	c := h.settings.Calls
	h.exchanger = exchanger.New(exchanger.Options{
		ConnectTimeout: c.ConnectTimeout, FirstByteTimeout: c.FirstByteTimeout, GapTimeout: c.GapTimeout, Clock: h.clock,
		Memory: h.budget.Answers,
	})
	policy, ok := keeper.PolicyByName(h.settings.Policy.Share)
	if !ok {
		policy = keeper.DefaultPolicy()
	}
	h.ledgers = dispatcher.NewLedgers(h.controller, policy, h.clock, maxKeeperQueue)
	route, ok := router.PolicyByName(h.settings.Policy.Route)
	if !ok {
		route = router.DefaultPolicy()
	}
	chooser := router.NewChooser(route, h.clock)
	h.suspector = suspector.New(coordinator.Hosts{Viewer: h.controller}, h.messenger, h.messenger, h.clock, h.logger, h.meters.meter)
	var err error
	h.dispatcher, err = dispatcher.New(dispatcher.Options{
		Viewer: h.controller, Caller: h.messenger, Registry: h.messenger, Exchanger: h.exchanger, Slots: h.ledgers,
		Chooser: chooser, Finder: chooser, Health: chooser.Backoff, Hints: chooser.Hints, Suspects: h.suspector,
		Clock: h.clock, Logger: h.logger, Meter: h.meters.meter,
		DefaultTimeout: h.settings.Callers.Timeout, RetryShare: c.RetryShare, ProbeInterval: c.ProbeInterval,
	})
	return eris.Wrap(err, "dispatcher")
}

// makeArchive makes the client of the replicated archive and, on a bulk host, the
// local store and the copier.
func (h *Host) makeArchive() error {
	h.archive = replicator.NewClient(replicator.ClientOptions{Caller: h.messenger, Viewer: h.controller, Log: h.logger})
	if !h.self.Bulk {
		return nil
	}
	sync := persister.SyncAlways
	if !h.settings.Batch.Sync {
		sync = persister.SyncNever
	}
	var err error
	h.localStore, err = archiver.Open(archiver.StoreOptions{Folder: h.settings.Host.DataFolder, Sync: sync, Log: h.logger, Meter: h.meters.meter})
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	h.localStore.Register(h.messenger, h.messenger)
	h.copier = copier.New(copier.Options{
		Store: h.localStore, Client: h.archive, Self: h.self.Name, Clock: h.clock,
		BytesPerSecond: int64(h.settings.Batch.CopyBytes), Log: h.logger,
	})
	return nil
}

// makeBatcher makes the batcher, which runs batch jobs.
func (h *Host) makeBatcher() error {
	var err error
	h.batcher, err = batcher.New(batcher.Options{
		Store: h.store, Archive: h.archive, Local: h.localStore, Caller: h.messenger, Viewer: h.controller, Clock: h.clock,
		Doer: h.dispatcher, Biller: h.usage(), Log: h.logger, Meter: h.meters.meter,
		Retention: h.settings.Batch.Retention, MaxWindow: h.settings.Batch.MaxConcurrent,
	})
	if err != nil {
		return eris.Wrap(err, "batcher")
	}
	h.batcher.Register(h.messenger)
	return nil
}
