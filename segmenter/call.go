package segmenter

import (
	"context"
	"errors"

	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/rotisserie/eris"
)

// NewHandler returns a messenger handler that decodes the request, calls f and
// sends its answer. A RefusedError is sent as part of the answer.
func NewHandler[Q any](f func(context.Context, Q) (Answer, error)) messenger.Handler {
	return func(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var q Q
		if err := decMode.Unmarshal(body, &q); err != nil {
			return &messenger.RemoteError{Code: "bad-request", Message: err.Error()}
		}
		a, err := f(ctx, q)
		if refused := new(RefusedError); errors.As(err, &refused) {
			a, err = Answer{Refused: refused}, nil
		}
		if err != nil {
			return err
		}
		frame, err := encMode.Marshal(a)
		if err != nil {
			return eris.Wrap(err, "encode answer")
		}
		return send(frame)
	}
}

// Call sends request q to the host at address and returns its answer. If the
// holder refused, the error is a RefusedError. Any other error leaves open
// whether the request was carried out.
func Call[Q any](ctx context.Context, c messenger.Caller, address string, m messenger.Method, q Q) (Answer, error) {
	body, err := encMode.Marshal(q)
	if err != nil {
		return Answer{}, eris.Wrapf(err, "encode %s", m)
	}
	var a Answer
	received := false
	err = c.Call(ctx, address, m, body, func(frame []byte) error {
		received = true
		return decMode.Unmarshal(frame, &a)
	})
	switch {
	case err != nil:
		return Answer{}, eris.Wrapf(err, "%s at %s", m, address)
	case !received:
		return Answer{}, eris.Errorf("%s at %s: empty answer", m, address)
	case a.Refused != nil:
		return Answer{}, a.Refused
	}
	return a, nil
}
