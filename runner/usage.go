package runner

import (
	"context"
	"encoding/json"
	"io"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// usageCloseTimeout bounds writing the remaining usage records when a host stops,
// in milliseconds.
const usageCloseTimeout = 5 * timer.Second

// makeRecorder makes the recorder of usage and, on a bulk host, the sealer of
// usage chains.
func (h *Host) makeRecorder() error {
	var err error
	h.recorder, err = recorder.New(recorder.Options{
		Archive: h.archive, Viewer: h.controller, Key: h.usageKey, Log: h.logger, Meter: h.meters.meter,
	})
	if err != nil {
		return eris.Wrap(err, "usage recorder")
	}
	if h.localStore != nil {
		h.sealer = recorder.NewSealer(recorder.SealerOptions{
			Local: h.localStore, Archive: h.archive, Viewer: h.controller, Clock: h.clock, Log: h.logger,
		})
	}
	return nil
}

// usage connects the recorder to the components that record and report usage.
type usage struct {
	recorder *recorder.Recorder
	archive  *replicator.Client
	viewer   coordinator.Viewer
	logger   *zap.Logger
}

// usage returns the adapter of this host.
func (h *Host) usage() usage {
	return usage{recorder: h.recorder, archive: h.archive, viewer: h.controller, logger: h.logger}
}

// Record implements forwarder.Recorder. Only answered calls are recorded. A failure
// is logged, since the call has been answered already.
func (u usage) Record(ctx context.Context, r requester.Request, o requester.Outcome) {
	a, ok := o.(requester.Answered)
	if !ok || r.Workspace == "" {
		return
	}
	e := u.entry(r.Workspace)
	e.RequestID, e.Class, e.Usage, e.At = r.ID, r.Class, a.Usage, timer.Wall()
	if err := u.recorder.Record(ctx, e); err != nil {
		u.logger.Error("usage not recorded", zap.String("request", r.ID), zap.String("workspace", r.Workspace), zap.Error(err))
	}
}

// Bill implements opener.Biller. It returns when the usage has been flushed.
func (u usage) Bill(ctx context.Context, s opener.SegmentUsage) error {
	e := u.entry(s.Workspace)
	e.RequestID, e.Class, e.Usage, e.At, e.Requests = s.Segment, requester.Batch, s.Usage, s.At, s.Requests
	if err := u.recorder.Record(ctx, e); err != nil {
		return err
	}
	return u.recorder.Flush(ctx)
}

// entry returns an entry for the workspace with the owner that it has now.
func (u usage) entry(workspace string) recorder.Entry {
	w := u.viewer.View().Record.Workspaces[workspace]
	return recorder.Entry{Workspace: workspace, Owner: w.Owner}
}

// WriteReport implements manager.Usage. The report includes the usage of this host
// up to now.
func (u usage) WriteReport(ctx context.Context, w io.Writer, from, until timer.Millis) error {
	if err := u.recorder.Flush(ctx); err != nil {
		return err
	}
	b, err := recorder.Report(ctx, u.archive, recorder.Query{From: from, To: until}, recorder.KeysOf(u.viewer.View().Record))
	if err != nil {
		return err
	}
	return eris.Wrap(json.NewEncoder(w).Encode(b), "write report")
}

// WriteRecords implements manager.Usage. It writes all records, whatever the
// period.
func (u usage) WriteRecords(ctx context.Context, w io.Writer, _, _ timer.Millis) error {
	chains, unreached, err := recorder.Collect(ctx, u.archive)
	if err != nil {
		return err
	}
	if len(unreached) > 0 {
		u.logger.Warn("hosts with usage records did not answer", zap.Strings("hosts", unreached))
	}
	return recorder.WriteChains(w, chains)
}
