// Package runner assembles one host: it creates every component from the host's
// settings, connects the components, and starts and stops them in order.
//
// A host that starts reads the record from the store, or from its seeds if the
// store is unavailable, and serves no calls until it has permission to act. A
// host that stops is first removed from the list of hosts that callers receive
// and waits for open calls to end, then leaves the fleet, which hands over its
// objects, and only then closes its connections.
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
	"github.com/jackdawgate/jackdawgate/holder"
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

// Options configure a host beyond its settings. Zero fields take defaults that
// suit a host with a process of its own.
type Options struct {
	// Logger receives the log of the host. The default discards it.
	Logger *zap.Logger
	// Store replaces the store that the settings name.
	Store storer.Store
	// CallerListener and PeerListener, if not nil, are used instead of listening
	// on the addresses in the settings. The host closes them.
	CallerListener net.Listener
	PeerListener   net.Listener
	// Budget is shared by the hosts of one process. The default is a budget by the settings.
	Budget *holder.Budget
}

// Host is one running host.
type Host struct {
	settings checker.Settings
	self     registrar.Member
	logger   *zap.Logger
	clock    timer.Clock
	meters   *meters
	budget   *holder.Budget
	// usageKey signs the usage records of this incarnation.
	usageKey ed25519.PrivateKey

	callerListener net.Listener
	peerListener   net.Listener

	store      storer.Store
	messenger  *messenger.Host
	controller *controller.Controller
	exchanger  *exchanger.Exchanger
	ledgers    *dispatcher.Ledgers
	suspector  *suspector.Suspector
	dispatcher *dispatcher.Dispatcher
	limiter    *limiter.Limiter
	archive    *replicator.Client
	localStore *archiver.Store
	copier     *copier.Copier
	recorder   *recorder.Recorder
	sealer     *recorder.Sealer
	batcher    *batcher.Batcher
	server     *server.Server

	workContext context.Context
	cancel      context.CancelFunc
	workers     sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// Start creates and starts a host. It returns when the host listens for callers
// and peers; AwaitReady waits until the host serves calls. On an error it closes the
// listeners, including those from Options.
func Start(s checker.Settings, o Options) (*Host, error) {
	h := &Host{settings: s, logger: o.Logger, clock: timer.System(), store: o.Store, callerListener: o.CallerListener, peerListener: o.PeerListener, budget: o.Budget}
	if h.logger == nil {
		h.logger = zap.NewNop()
	}
	h.logger = h.logger.With(zap.String("host", s.Host.Name))
	h.workContext, h.cancel = context.WithCancel(context.Background())
	for _, step := range []func() error{
		h.listen, h.makeMeters, h.makeBudget, h.makeSelf, h.makeStore, h.makeMessenger, h.makeController, h.makeLimiter,
		h.makeDispatcher, h.makeArchive, h.makeRecorder, h.makeBatcher, h.makeServer,
	} {
		if err := step(); err != nil {
			h.closeUnstarted()
			return nil, errors.Join(err, h.closeComponents())
		}
	}
	h.startComponents()
	return h, nil
}

// listen opens the listeners that Options don't have.
func (h *Host) listen() error {
	var err error
	if h.callerListener == nil {
		if h.callerListener, err = net.Listen("tcp", h.settings.Host.CallerListen); err != nil {
			return eris.Wrap(err, "listen for callers")
		}
	}
	if h.peerListener == nil {
		if h.peerListener, err = net.Listen("tcp", h.settings.Host.PeerListen); err != nil {
			return eris.Wrap(err, "listen for peers")
		}
	}
	return nil
}

// makeSelf makes this host's member entry, with a new incarnation and usage key
// for each start.
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
		PeerAddress:   firstNonEmpty(s.PeerAddress, h.peerListener.Addr().String()),
		CallerAddress: firstNonEmpty(s.CallerAddress, h.callerListener.Addr().String()),
		Bulk:          s.DataFolder != "",
		UsageKey:      public,
	}
	return nil
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// peerCertificateFiles returns the certificate files for connections between
// hosts. They are empty if the settings name none.
func peerCertificateFiles(t checker.TLSSettings) certifier.Files {
	return certifier.Files{Certificate: t.PeerCertificate, Key: t.PeerKey, Authority: t.PeerAuthority}
}

// startComponents starts the components that run in the background.
func (h *Host) startComponents() {
	h.workers.Go(func() {
		if err := h.messenger.Serve(h.budget.Connections.Others().Listener(h.peerListener, "")); err != nil {
			h.logger.Error("serving peers failed", zap.Error(err))
		}
	})
	h.controller.Start()
	h.dispatcher.Start()
	h.workers.Go(func() {
		if err := h.server.Serve(h.callerListener); err != nil {
			h.logger.Error("serving callers failed", zap.Error(err))
		}
	})
	h.workers.Go(h.updateLedgers)
	h.logger.Info("host started",
		zap.String("incarnation", h.self.Incarnation),
		zap.String("caller-address", h.self.CallerAddress),
		zap.String("peer-address", h.self.PeerAddress))
}

// updateLedgers applies new limits when the record changes, so that they also take
// effect for backend servers without calls.
func (h *Host) updateLedgers() {
	changed, cancel := h.controller.Subscribe()
	defer cancel()
	for {
		select {
		case <-changed:
			h.ledgers.Apply()
		case <-h.workContext.Done():
			return
		}
	}
}

// AwaitReady waits until the host is a member and has permission to act.
func (h *Host) AwaitReady(ctx context.Context) error { return h.controller.Join(ctx) }

// View implements coordinator.Viewer.
func (h *Host) View() coordinator.Snapshot { return h.controller.View() }

// Change applies a change of the record, under a new identifier.
func (h *Host) Change(ctx context.Context, c registrar.Change) error {
	_, err := h.controller.Change(ctx, uuid.NewString(), c)
	return eris.Wrapf(err, "change %T", c)
}

// CallerAddress returns the address to which callers connect.
func (h *Host) CallerAddress() string { return h.self.CallerAddress }

// Close stops the host in order and waits until it has stopped: the host is
// removed from the list that callers receive, open calls end or are answered with
// a request to retry, and the host's objects are handed over. ctx bounds the wait
// for callers and the hand-over. Further calls do nothing.
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
	drainErr := h.controller.SetDraining(ctx)
	h.waitForCallers(ctx)
	serverErr := h.server.Close()
	h.batcher.Close()
	usageErr := h.recorder.Close(usageCloseTimeout)
	h.limiter.Close()
	leaveErr := h.controller.Drain(ctx)
	err := errors.Join(
		eris.Wrap(drainErr, "announce that the host drains"),
		eris.Wrap(serverErr, "close callers' connections"),
		eris.Wrap(usageErr, "write the remaining usage records"),
		eris.Wrap(leaveErr, "leave the fleet"),
		h.closeComponents(),
	)
	h.logger.Info("host stopped", zap.Error(err))
	return err
}

// waitForCallers continues to serve for as long as callers may use a list of hosts
// that includes this one: the time for which callers keep a list, plus two
// confirmation intervals, during which other hosts may not have been notified yet
// that this host leaves.
func (h *Host) waitForCallers(ctx context.Context) {
	wait := h.settings.Callers.HostsFor + 2*h.settings.Control.ConfirmInterval
	select {
	case <-time.After(wait.Duration()):
	case <-ctx.Done():
	}
}

// closeUnstarted closes the components of a host that could not be started which
// closeComponents leaves to Close. The host has served no calls, so there is no usage to
// write.
func (h *Host) closeUnstarted() {
	if h.batcher != nil {
		h.batcher.Close()
	}
	if h.recorder != nil {
		_ = h.recorder.Close(1)
	}
	if h.limiter != nil {
		h.limiter.Close()
	}
}

// closeComponents closes the listeners and the components other than the server,
// the batcher, the recorder and the limiter. It doesn't leave the fleet. Components
// that haven't been created are skipped.
func (h *Host) closeComponents() error {
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
	if h.localStore != nil {
		errs = append(errs, h.localStore.Close())
	}
	for _, l := range []net.Listener{h.callerListener, h.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if h.meters != nil {
		errs = append(errs, h.meters.close())
	}
	return errors.Join(errs...)
}
