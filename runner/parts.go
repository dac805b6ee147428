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

// keeperQueue is how many calls of each class may wait for one backend server.
const keeperQueue = 1024

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

func (h *Host) makeMessenger() error {
	o := messenger.Options{
		Self:   messenger.Peer{Name: h.self.Name, Incarnation: h.self.Incarnation},
		Logger: h.logger,
	}
	if f := peerFiles(h.settings.TLS); f.Certificate != "" {
		c, err := certifier.New(f)
		if err != nil {
			return eris.Wrap(err, "peers' certificate")
		}
		o.ServerTLS, o.ClientTLS = c.MutualServer(), c.MutualClient()
	}
	h.messenger = messenger.New(o)
	return nil
}

func (h *Host) makeController() error {
	t := coordinator.DefaultTiming()
	t.Confirm = h.settings.Control.ConfirmInterval
	t.Permission = h.settings.Control.Permission
	t.Silence = h.settings.Control.Silence
	var err error
	h.controller, err = controller.New(controller.Options{
		Self: h.self, Seeds: h.settings.Host.Seeds, Timing: t, Store: h.store, Caller: h.messenger,
		Registry: h.messenger, Clock: h.clock, Logger: h.logger, Meter: h.meters.meter,
	})
	return eris.Wrap(err, "controller")
}

func (h *Host) makeLimiter() error {
	o := limiter.DefaultOptions()
	o.Scheme, _ = limiter.SchemeNamed(h.settings.Limits.Scheme)
	h.limiter = limiter.New(h.controller, h.messenger, h.messenger, h.clock, h.logger, h.meters.meter, o)
	return nil
}

func (h *Host) makeDispatcher() error {
	c := h.settings.Calls
	h.exchanger = exchanger.New(exchanger.Options{
		ConnectTimeout: c.ConnectTimeout, FirstByteTimeout: c.FirstByteTimeout, GapTimeout: c.GapTimeout, Clock: h.clock,
	})
	policy, ok := keeper.PolicyByName(h.settings.Policy.Share)
	if !ok {
		policy = keeper.DefaultPolicy()
	}
	h.ledgers = dispatcher.NewLedgers(h.controller, policy, h.clock, keeperQueue)
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
	h.local, err = archiver.Open(archiver.StoreOptions{Folder: h.settings.Host.DataFolder, Sync: sync, Log: h.logger, Meter: h.meters.meter})
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	h.local.Register(h.messenger, h.messenger)
	h.copier = copier.New(copier.Options{
		Store: h.local, Client: h.archive, Self: h.self.Name, Clock: h.clock,
		BytesPerSecond: int64(h.settings.Batch.CopyBytes), Log: h.logger,
	})
	return nil
}

func (h *Host) makeBatcher() error {
	var err error
	h.batcher, err = batcher.New(batcher.Options{
		Store: h.store, Archive: h.archive, Local: h.local, Caller: h.messenger, Viewer: h.controller, Clock: h.clock,
		Doer: h.dispatcher, Biller: h.usage(), Log: h.logger, Meter: h.meters.meter,
		Retention: h.settings.Batch.Retention, MaxWindow: h.settings.Batch.MaxConcurrent,
	})
	if err != nil {
		return eris.Wrap(err, "batcher")
	}
	h.batcher.Register(h.messenger)
	return nil
}
