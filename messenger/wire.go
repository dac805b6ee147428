package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

type frameKind uint8

const (
	// frameRequest starts a call.
	frameRequest frameKind = iota + 1
	// frameData is one answer frame.
	frameData
	// frameEnd ends a call, with the handler's error if there was one.
	frameEnd
	// frameCancel notifies the handler that its caller no longer waits.
	frameCancel
	// frameCredit allows the handler to send more answer frames.
	frameCredit
)

// frame is one unit of the protocol between hosts. A WebSocket message holds one or
// more frames, as a CBOR sequence.
type frame struct {
	Kind   frameKind    `cbor:"1,keyasint"`
	ID     uint64       `cbor:"2,keyasint"`
	Method Method       `cbor:"3,keyasint,omitempty"`
	Body   []byte       `cbor:"4,keyasint,omitempty"`
	Err    *RemoteError `cbor:"5,keyasint,omitempty"`
	Credit int          `cbor:"6,keyasint,omitempty"`
}

// appendFrame adds the encoding of f to b.
func appendFrame(b []byte, f frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return b, eris.Wrap(err, "encode frame")
	}
	return append(b, data...), nil
}

// decodeFrames decodes the frames of one WebSocket message, and passes them to handle
// in order.
func decodeFrames(message []byte, handle func(frame)) error {
	for len(message) > 0 {
		var f frame
		rest, err := cbor.UnmarshalFirst(message, &f)
		if err != nil {
			return eris.Wrap(err, "decode frame")
		}
		handle(f)
		message = rest
	}
	return nil
}
