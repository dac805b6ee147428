// Package runner assembles one host: it makes every part from the host's
// settings, connects them, and starts and stops them in order.
//
// A host that starts takes the record from the store, or from its seeds when
// the store is out, and serves nothing until it is permitted to act. A host
// that stops is first no longer offered to callers, lets open calls end, hands
// its objects over by leaving the fleet, and only then ends its connections.
package runner

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/certifier"
	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/controller"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/copier"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Options are what a host needs besides its settings. Zero fields take what a
// process of its own needs.
type Options struct {
	Logger *zap.Logger
	// Store replaces the store that the settings name.
	Store storer.Store
	// CallerListener and PeerListener replace listening on the settings'
	// addresses.
	CallerListener net.Listener
	PeerListener   net.Listener
}

// Host is one running host.
type Host struct {
	settings checker.Settings
	self     registrar.Member
	logger   *zap.Logger
	clock    timer.Clock
	meters   *meters
	// usageKey signs this incarnation's usage.
	usageKey ed25519.PrivateKey

	callers net.Listener
	peers   net.Listener

	store      storer.Store
	messenger  *messenger.Host
	controller *controller.Controller
	exchanger  *exchanger.Exchanger
	ledgers    *dispatcher.Ledgers
	suspector  *suspector.Suspector
	dispatcher *dispatcher.Dispatcher
	limiter    *limiter.Limiter
	archive    *replicator.Client
	local      *archiver.Store
	copier     *copier.Copier
	recorder   *recorder.Recorder
	sealer     *recorder.Sealer
	batcher    *batcher.Batcher
	server     *server.Server

	work    context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// Start makes and starts a host. It returns once the host listens; Ready tells
// when it serves.
func Start(s checker.Settings, o Options) (*Host, error) {
	h := &Host{settings: s, logger: o.Logger, clock: timer.System(), store: o.Store, callers: o.CallerListener, peers: o.PeerListener}
	if h.logger == nil {
		h.logger = zap.NewNop()
	}
	h.logger = h.logger.With(zap.String("host", s.Host.Name))
	h.work, h.cancel = context.WithCancel(context.Background())
	for _, step := range []func() error{
		h.listen, h.makeMeters, h.makeSelf, h.makeStore, h.makeMessenger, h.makeController, h.makeLimiter,
		h.makeDispatcher, h.makeArchive, h.makeRecorder, h.makeBatcher, h.makeServer,
	} {
		if err := step(); err != nil {
			return nil, errors.Join(err, h.abandon())
		}
	}
	h.serve()
	return h, nil
}

func (h *Host) listen() error {
	var err error
	if h.callers == nil {
		if h.callers, err = net.Listen("tcp", h.settings.Host.CallerListen); err != nil {
			return eris.Wrap(err, "listen for callers")
		}
	}
	if h.peers == nil {
		if h.peers, err = net.Listen("tcp", h.settings.Host.PeerListen); err != nil {
			return eris.Wrap(err, "listen for peers")
		}
	}
	return nil
}

// makeSelf decides how this process is listed. The incarnation is new each time.
func (h *Host) makeSelf() error {
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return eris.Wrap(err, "make incarnation")
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "make usage key")
	}
	h.usageKey = private
	s := h.settings.Host
	h.self = registrar.Member{
		Name:          s.Name,
		Incarnation:   hex.EncodeToString(incarnation),
		DataCentre:    s.DataCentre,
		Region:        s.Region,
		PeerAddress:   first(s.PeerAddress, h.peers.Addr().String()),
		CallerAddress: first(s.CallerAddress, h.callers.Addr().String()),
		Bulk:          s.DataFolder != "",
		UsageKey:      public,
	}
	return nil
}

func first(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// peerFiles name the certificate for other hosts, if there is one.
func peerFiles(t checker.TLSSettings) certifier.Files {
	return certifier.Files{Certificate: t.PeerCertificate, Key: t.PeerKey, Authority: t.PeerAuthority}
}

// serve starts everything that runs by itself.
func (h *Host) serve() {
	h.workers.Go(func() {
		if err := h.messenger.Serve(h.peers); err != nil {
			h.logger.Error("peers are not served", zap.Error(err))
		}
	})
	h.controller.Start()
	h.dispatcher.Start()
	h.workers.Go(func() {
		if err := h.server.Serve(h.callers); err != nil {
			h.logger.Error("callers are not served", zap.Error(err))
		}
	})
	h.workers.Go(h.watchLedgers)
	h.logger.Info("host started",
		zap.String("incarnation", h.self.Incarnation),
		zap.String("caller-address", h.self.CallerAddress),
		zap.String("peer-address", h.self.PeerAddress))
}

// watchLedgers puts new limits in force at once, also for servers without calls.
func (h *Host) watchLedgers() {
	changed, cancel := h.controller.Subscribe()
	defer cancel()
	for {
		select {
		case <-changed:
			h.ledgers.Apply()
		case <-h.work.Done():
			return
		}
	}
}

// Ready waits until the host may act and is a member.
func (h *Host) Ready(ctx context.Context) error { return h.controller.Join(ctx) }

// View implements coordinator.Viewer.
func (h *Host) View() coordinator.Snapshot { return h.controller.View() }

// Change makes a change of the configuration, with an identifier of its own.
func (h *Host) Change(ctx context.Context, c registrar.Change) error {
	_, err := h.controller.Change(ctx, uuid.NewString(), c)
	return eris.Wrapf(err, "change %T", c)
}

// CallerAddress is where callers connect to.
func (h *Host) CallerAddress() string { return h.self.CallerAddress }

// Close stops the host in order and waits for it: it is no longer offered,
// open calls end or are told to come back, its objects are handed over. ctx
// bounds the hand-over.
func (h *Host) Close(ctx context.Context) error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil
	}
	h.closed = true
	h.mu.Unlock()
	h.logger.Info("host stops")
	h.server.Drain()
	draining := h.controller.SetDraining(ctx)
	h.awaitCallers(ctx)
	served := h.server.Close()
	h.batcher.Close()
	counted := h.recorder.Close(usageCloseTimeout)
	h.limiter.Close()
	left := h.controller.Drain(ctx)
	err := errors.Join(
		eris.Wrap(draining, "announce the stop"),
		eris.Wrap(served, "end callers' connections"),
		eris.Wrap(counted, "write the last usage"),
		eris.Wrap(left, "leave the fleet"),
		h.abandon(),
	)
	h.logger.Info("host stopped", zap.Error(err))
	return err
}

// awaitCallers goes on serving for as long as callers may keep a list of hosts
// that has this one, and the others may not know yet that it leaves.
func (h *Host) awaitCallers(ctx context.Context) {
	wait := h.settings.Callers.HostsFor + 2*h.settings.Control.ConfirmInterval
	select {
	case <-time.After(wait.Duration()):
	case <-ctx.Done():
	}
}

// abandon ends what was made, without leaving the fleet.
func (h *Host) abandon() error {
	h.cancel()
	var errs []error
	if h.sealer != nil {
		h.sealer.Close()
	}
	if h.copier != nil {
		h.copier.Close()
	}
	if h.dispatcher != nil {
		h.dispatcher.Close()
	}
	if h.suspector != nil {
		h.suspector.Close()
	}
	if h.ledgers != nil {
		h.ledgers.Close()
	}
	if h.controller != nil {
		errs = append(errs, h.controller.Close())
	}
	if h.messenger != nil {
		errs = append(errs, h.messenger.Close())
	}
	h.workers.Wait()
	if h.exchanger != nil {
		h.exchanger.Close()
	}
	if h.local != nil {
		errs = append(errs, h.local.Close())
	}
	for _, l := range []net.Listener{h.callers, h.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
	if h.meters != nil {
		errs = append(errs, h.meters.close())
	}
	return errors.Join(errs...)
}
