package segmenter

import "github.com/fxamacker/cbor/v2"

// encMode is deterministic: equal values have equal encodings.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode encodes v as CBOR. This is the encoding of messages and of a segment's
// state on disk.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode is the inverse of Encode.
func Decode(data []byte, v any) error { return decMode.Unmarshal(data, v) }
