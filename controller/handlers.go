package controller

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/timer"
)

// register registers the handlers for peers' requests.
func (c *Controller) register() {
	c.options.Registry.Handle(coordinator.MethodReport, c.handleAsk)
	c.options.Registry.Handle(coordinator.MethodRelay, c.handleRelay)
	c.options.Registry.Handle(coordinator.MethodRecord, c.handleRecord)
}

func (c *Controller) handleAsk(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
	var q coordinator.ReportRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return &messenger.RemoteError{Code: "bad-request", Message: err.Error()}
	}
	done := make(chan coordinator.Report, 1)
	err := c.post(ctx, func(k *control, now timer.Millis) coordinator.Event {
		return coordinator.ReportRequested{At: now, Token: k.expectReport(done), Request: q}
	})
	if err != nil {
		return err
	}
	return reply(ctx, c.lifetime, done, send)
}

func (c *Controller) handleRelay(ctx context.Context, _ messenger.Peer, _ []byte, send func([]byte) error) error {
	done := make(chan coordinator.RelayResponse, 1)
	err := c.post(ctx, func(k *control, now timer.Millis) coordinator.Event {
		return coordinator.RelayRequested{At: now, Token: k.expectRelay(done)}
	})
	if err != nil {
		return err
	}
	return reply(ctx, c.lifetime, done, send)
}

// reply waits for the control goroutine's answer on done and sends it to the peer.
func reply[A any](ctx, lifetime context.Context, done <-chan A, send func([]byte) error) error {
	select {
	case a := <-done:
		b, err := cbor.Marshal(a)
		if err != nil {
			return err
		}
		return send(b)
	case <-ctx.Done():
		return ctx.Err()
	case <-lifetime.Done():
		return &messenger.RemoteError{Code: "closed", Message: "host is closing"}
	}
}

func (c *Controller) handleRecord(_ context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
	var q coordinator.RecordRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return &messenger.RemoteError{Code: "bad-request", Message: err.Error()}
	}
	if c.View().Record.Version == 0 {
		return &messenger.RemoteError{Code: "no-record", Message: "this host holds no record yet"}
	}
	b, err := c.cache.reply(q.Held)
	if err != nil {
		return err
	}
	return send(b)
}
