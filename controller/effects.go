package controller

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// fetchTimeout bounds how long fetching a record from a peer may take.
const fetchTimeout = 5 * timer.Second

func newTicker(every timer.Millis) (<-chan time.Time, func()) {
	t := time.NewTicker(every.Duration())
	return t.C, t.Stop
}

// timeout returns a context that ends after d or when the controller closes.
func (c *Controller) timeout(d timer.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.lifetime, d.Duration())
}

// call sends request q to address and decodes the single response.
func call[Q, A any](ctx context.Context, to messenger.Caller, address string, method messenger.Method, q Q) (A, error) {
	var a A
	body, err := cbor.Marshal(q)
	if err != nil {
		return a, eris.Wrapf(err, "encode %T", q)
	}
	answered := false
	err = to.Call(ctx, address, method, body, func(frame []byte) error {
		answered = true
		return cbor.Unmarshal(frame, &a)
	})
	if err != nil {
		return a, eris.Wrapf(err, "%s at %s", method, address)
	}
	if !answered {
		return a, eris.Errorf("%s at %s: no answer", method, address)
	}
	return a, nil
}

func (c *Controller) ask(e coordinator.QueryReports) {
	for _, t := range e.Targets {
		c.spawn(func() { c.askOne(e, t) })
	}
}

func (c *Controller) askOne(e coordinator.QueryReports, t coordinator.Target) {
	ctx, cancel := c.timeout(c.options.Timing.RequestTimeout)
	defer cancel()
	report, err := call[coordinator.ReportRequest, coordinator.Report](ctx, c.options.Caller, t.Address, coordinator.MethodReport, e.Request)
	if err != nil {
		c.log.Debug("ask peer for confirmation", zap.String("to", t.Address), zap.Error(err))
		return
	}
	c.deliver(func(now timer.Millis) coordinator.Event {
		return coordinator.ReportReceived{At: now, Round: e.Round, Name: t.Name, Address: t.Address, Report: report}
	})
}

func (c *Controller) askRelay(e coordinator.QueryRelay) {
	ctx, cancel := c.timeout(c.options.Timing.RequestTimeout)
	defer cancel()
	q := coordinator.RelayRequest{Name: c.options.Self.Name}
	report, err := call[coordinator.RelayRequest, coordinator.RelayResponse](ctx, c.options.Caller, e.Address, coordinator.MethodRelay, q)
	if err != nil {
		c.log.Debug("ask relay", zap.String("to", e.Address), zap.Error(err))
	}
	c.deliver(func(now timer.Millis) coordinator.Event {
		return coordinator.RelayResponseReceived{At: now, Round: e.Round, Address: e.Address, Response: report, Failed: err != nil}
	})
}

func (c *Controller) fetchRecord(e coordinator.FetchRecord) {
	ctx, cancel := c.timeout(fetchTimeout)
	defer cancel()
	record, err := c.fetchRecordFrom(ctx, e.Address)
	if err != nil {
		c.log.Debug("fetch record from peer", zap.String("from", e.Address), zap.Error(err))
	}
	c.deliver(func(now timer.Millis) coordinator.Event {
		return coordinator.RecordFetched{At: now, Record: record, Failed: err != nil}
	})
}

// fetchRecordFrom fetches the record that the host at address holds. The peer
// replies with a delta to this host's record if it can.
func (c *Controller) fetchRecordFrom(ctx context.Context, address string) (registrar.Record, error) {
	held := c.View().Record
	q := coordinator.RecordRequest{Held: held.Version}
	report, err := call[coordinator.RecordRequest, coordinator.RecordResponse](ctx, c.options.Caller, address, coordinator.MethodRecord, q)
	if err != nil {
		return registrar.Record{}, err
	}
	if report.Delta != nil {
		return held.WithDelta(*report.Delta)
	}
	return registrar.Decode(report.Encoded)
}

func (c *Controller) readStore(e coordinator.ReadStore) {
	c.metrics.storeCall("get")
	ctx, cancel := c.timeout(c.options.Timing.RequestTimeout)
	defer cancel()
	value, err := c.options.Store.Get(ctx, registrar.RecordKey)
	var record registrar.Record
	if err == nil {
		record, err = c.cache.decode(value)
	}
	if err != nil {
		c.log.Debug("read record from store", zap.Error(err))
	}
	c.deliver(func(now timer.Millis) coordinator.Event {
		return coordinator.StoreRead{At: now, Read: e.Read, Record: record, StoreVersion: value.Version, Failed: err != nil}
	})
}

func (c *Controller) writeStore(e coordinator.WriteStore) {
	outcome := c.write(e)
	c.deliver(func(now timer.Millis) coordinator.Event {
		return coordinator.StoreWritten{At: now, Write: e.Write, Outcome: outcome}
	})
}

func (c *Controller) write(e coordinator.WriteStore) coordinator.WriteOutcome {
	data, err := e.Record.Encode()
	if err != nil {
		c.log.Error("encode record", zap.Error(err))
		return coordinator.WriteConflict
	}
	c.metrics.storeCall("compare-and-swap")
	ctx, cancel := c.timeout(c.options.Timing.RequestTimeout)
	defer cancel()
	swapped, err := c.options.Store.CompareAndSwap(ctx, registrar.RecordKey, data, e.Old)
	var large *storer.TooLargeError
	switch {
	case errors.As(err, &large):
		c.log.Error("record is too large for the store", zap.Error(err))
		return coordinator.WriteTooLarge
	case err != nil:
		c.log.Warn("write record to store: outcome unknown", zap.Uint64("version", uint64(e.Record.Version)), zap.Error(err))
		return coordinator.WriteUnknown
	case !swapped:
		return coordinator.WriteConflict
	}
	return coordinator.WriteDone
}
