package hoster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/retirer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// batchPolicy states how many slots of a server batch items leave free.
var batchPolicy = filler.Policy{FreeAfterStart: 2, MinFree: 0}

// BulkHost stores and runs batch jobs.
type BulkHost struct {
	*base
	fleet    *bulkFleet
	replicas []*mirrorer.Replica
	queues   []*queuer.Queue
	handler  *broker.Handler
	executor *executor.Executor
	// rationer tracks the quotas, for entry hosts that restart.
	rationer *rationer.Rationer
	retirer  *retirer.Retirer
	cancel   context.CancelFunc
}

// NewBulkHost starts a bulk host.
func NewBulkHost(s checker.MemberSettings, p Platform, l *zap.Logger) (*BulkHost, error) {
	h := &BulkHost{rationer: rationer.New(timer.Boot())}
	disk, err := openDisk(s.Disk.Folder)
	if err != nil {
		return nil, err
	}
	started := make(chan struct{})
	b, err := newBase(s, p, l, cataloger.Member{Role: cataloger.Bulk, Disk: disk},
		func() gossiper.Digest { <-started; return h.digest() }, h.handleDigest(started))
	if err != nil {
		return nil, err
	}
	h.base = b
	h.fleet = newBulkFleet(b, s.Disk.Losses)
	if err := h.openGroups(disk); err != nil {
		return nil, err
	}
	mirrorer.Serve(b.messenger, h.replica)
	bootstrapper := b.newBootstrapper(h.rationer)
	fleet := broker.Fleet{Snapshot: b.follower.Snapshot, Zones: b.zones}
	h.handler = broker.NewHandler(h.localGroups(), b.gossiper.Digests, fleet, b.messenger, l)
	h.executor = executor.New(executor.Options{
		Host: b.member.Name, Groups: h.groups(), Names: p.Names, Snapshot: b.follower.Snapshot, Digests: b.gossiper.Digests, Hosts: b.gossiper.Hosts,
		Picker: b.picker, Transporter: b.transporter, Ejector: b.ejector, Departer: b.departer, Tracker: b.tracker, Clock: b.clock, Logger: l, Policy: batchPolicy, Measurer: p.Measurer,
		Zones: b.zones, Memory: b.budget.Outputs,
	})
	close(started)
	b.serve()
	b.follower.Notify(h.setGroups)
	h.setGroups(b.follower.Snapshot())
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.handler.Expire(ctx, s.Bounds.Keep, timer.Wall)
	h.retirer = retirer.New(retirer.Options{
		Self: retirer.Self{Host: b.member.Name, Disk: disk, MinHolders: s.Disk.Losses + 1}, Groups: broker.Groups, Ledger: p.Ledger, StatusKey: p.RetireStatusKey(b.member.Name), GroupKey: p.GroupKey,
		EncodeStatus: p.RetireStatus, Snapshot: b.follower.Snapshot, Logger: l,
	})
	h.workers.Go(func() { h.inherit(ctx, bootstrapper, h.rationer) })
	h.workers.Go(func() { h.inheritKnown(ctx) })
	h.workers.Go(func() { h.watchLimits(ctx) })
	h.workers.Go(func() { h.watchQuotas(ctx, h.rationer) })
	return h, nil
}

// handleDigest returns a function that handles another host's digest once the host has
// started.
func (h *BulkHost) handleDigest(started <-chan struct{}) func(gossiper.Digest) {
	return func(d gossiper.Digest) {
		<-started
		h.rationer.Merge(d.Host, d.Incarnation, d.Admitted)
		h.executor.Wake()
	}
}

// openDisk returns the name of the disk. If the disk has none, openDisk generates one
// and stores it there.
func openDisk(folder string) (string, error) {
	path := filepath.Join(folder, "disk-id")
	b, err := os.ReadFile(path)
	if name := strings.TrimSpace(string(b)); err == nil && name != "" {
		return name, nil
	}
	if err != nil && !os.IsNotExist(err) {
		return "", eris.Wrap(err, "read the disk's name")
	}
	name := uuid.NewString()
	f, err := os.Create(path)
	if err != nil {
		return "", eris.Wrap(err, "create the disk's name")
	}
	_, err = f.WriteString(name + "\n")
	err = errors.Join(err, f.Sync(), f.Close())
	return name, eris.Wrap(err, "write the disk's name")
}

// openGroups opens the logs of all groups.
func (h *BulkHost) openGroups(disk string) error {
	for n := range broker.Groups {
		name := fmt.Sprintf("group-%d", n)
		log, err := mirrorer.OpenLog(filepath.Join(h.settings.Disk.Folder, name+".log"), name)
		if err != nil {
			return err
		}
		q := queuer.New(h.logger, h.onQueueChange)
		h.queues = append(h.queues, q)
		h.replicas = append(h.replicas, mirrorer.New(mirrorer.Options{
			Group: n, Disk: disk, Incarnation: h.member.Incarnation, Log: log, Machine: q,
			Ledger: h.platform.Ledger, Key: h.platform.GroupKey(n), Caller: h.messenger,
			View: h.view(n), Address: h.fleet.address, HolderCondition: h.fleet.holderCondition, Clock: h.clock, Logger: h.logger,
			CompactAfter: int64(h.settings.Disk.CompactAfter),
		}))
	}
	return nil
}

// onQueueChange is called whenever a queue has changed.
func (h *BulkHost) onQueueChange() {
	h.gossiper.Touch()
	if h.executor != nil {
		h.executor.Wake()
	}
}

func (h *BulkHost) replica(group int) (*mirrorer.Replica, bool) {
	if group < 0 || group >= len(h.replicas) {
		return nil, false
	}
	return h.replicas[group], true
}

func (h *BulkHost) groups() []executor.Group {
	var out []executor.Group
	for n, r := range h.replicas {
		out = append(out, executor.Group{Number: n, Queue: h.queues[n], Propose: r.Propose})
	}
	return out
}

func (h *BulkHost) localGroups() []broker.LocalGroup {
	var out []broker.LocalGroup
	for n, g := range h.groups() {
		r := h.replicas[n]
		out = append(out, broker.LocalGroup{Group: g, WhileServing: r.WhileServing, Recipients: r.Recipients})
	}
	return out
}

// setGroups passes the groups' manifests to the replicas.
func (h *BulkHost) setGroups(s cataloger.Snapshot) {
	if s.Config == nil {
		return
	}
	for n, r := range h.replicas {
		r.SetGroup(s.Groups[n])
	}
}

func (h *BulkHost) digest() gossiper.Digest {
	d := h.base.digest()
	d.Backlog, d.RestrictedBacklog = h.executor.Backlog(), h.executor.RestrictedBacklog()
	d.Waiting = make(map[string]int64)
	for n, q := range h.queues {
		if !q.Serving() {
			continue
		}
		d.Groups = append(d.Groups, n)
		for key, tokens := range q.WaitingTokens() {
			d.Waiting[key.String()] += tokens
		}
	}
	return d
}

// leaveTimeout is how long a leaving host waits for others to take over its groups.
const leaveTimeout timer.Millis = 3000

// Stop stops the host gracefully: it first waits, for a bounded time, until others have
// taken over its groups.
func (h *BulkHost) Stop() {
	h.logger.Info("leaving", zap.Int64("grace-ms", int64(h.settings.Bounds.Grace)))
	h.executor.Close()
	h.fleet.leave()
	h.leave()
	until := h.clock.Now() + min(leaveTimeout, h.settings.Bounds.Grace/2)
	for h.clock.Now() < until && h.servesAny() {
		timer.Sleep(context.Background(), 20)
	}
	h.cancel()
	h.retirer.Close()
	mirrorer.CloseAll(h.replicas)
	h.close()
}

func (h *BulkHost) servesAny() bool {
	for _, q := range h.queues {
		if q.Serving() {
			return true
		}
	}
	return false
}
