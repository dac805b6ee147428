package authenticator

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxUnescapePasses is the maximum number of nested escape layers that are resolved.
const maxUnescapePasses = 3

// maxEscapeBytes is the length of the longest escape sequence for one byte of a key.
const maxEscapeBytes = len(`\u0000`)

// keyLength is the length of the keys that NewKey generates, in bytes: the prefix
// and unpadded base64.
const keyLength = len(keyPrefix) + (keyBytes*8+5)/6

// Finder detects keys in data that is to be forwarded to a backend server: the key
// presented with the request, whatever its format, and any valid key with the
// format that NewKey generates.
type Finder struct {
	keys         *Authenticator
	presentedKey []byte
}

// Finder returns a Finder for a request that presented the key own, which may be
// empty. The Finder refers to own, so own must not be modified while it is in use.
func (a *Authenticator) Finder(own []byte) *Finder {
	return &Finder{keys: a, presentedKey: own}
}

// Contains reports whether data contains a key, either literally or with
// percent-encoding or JSON escapes. It can't detect keys in compressed data, which its
// callers refuse, or in encodings such as base64.
func (f *Finder) Contains(data []byte) bool {
	for range maxUnescapePasses {
		if f.containsPlain(data) {
			return true
		}
		if bytes.IndexByte(data, '\\') < 0 && bytes.IndexByte(data, '%') < 0 {
			return false
		}
		data = unescape(data)
	}
	return f.containsPlain(data)
}

// containsPlain reports whether data literally contains a key.
func (f *Finder) containsPlain(data []byte) bool {
	if len(f.presentedKey) > 0 && bytes.Contains(data, f.presentedKey) {
		return true
	}
	for {
		i := bytes.Index(data, []byte(keyPrefix))
		if i < 0 || len(data)-i < keyLength {
			return false
		}
		if _, ok := f.keys.Check(data[i : i+keyLength]); ok {
			return true
		}
		data = data[i+len(keyPrefix):]
	}
}

// unescape resolves one layer of percent-encoding and of JSON escapes of ASCII
// characters, and copies everything else unchanged.
func unescape(data []byte) []byte {
	out := make([]byte, 0, len(data))
	for i := 0; i < len(data); {
		c, n := unescapeOne(data[i:])
		out = append(out, c)
		i += n
	}
	return out
}

// unescapeOne returns the first character of data, unescaped, and the number of
// bytes that it occupies in data.
func unescapeOne(data []byte) (byte, int) {
	switch {
	case data[0] == '%' && len(data) >= 3:
		if v, ok := parseHex(data[1:3]); ok {
			return byte(v), 3
		}
	case data[0] == '\\' && len(data) >= maxEscapeBytes && data[1] == 'u':
		if v, ok := parseHex(data[2:maxEscapeBytes]); ok && v < 0x80 {
			return byte(v), maxEscapeBytes
		}
	case data[0] == '\\' && len(data) >= 2 && bytes.IndexByte([]byte(`\/"`), data[1]) >= 0:
		return data[1], 2
	}
	return data[0], 1
}

// parseHex returns the value of hexadecimal digits, and false if any is invalid.
func parseHex(digits []byte) (int, bool) {
	v := 0
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			v = v<<4 | int(c-'0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			v = v<<4 | int(c|0x20-'a'+10)
		default:
			return 0, false
		}
	}
	return v, true
}

// ErrKeyFound reports that a body contains a key.
var ErrKeyFound = eris.New("the body contains a key")

// Reader reads a body until a key occurs in it. It holds back data that may be the
// start of a key until enough has been read to decide. It is not safe for concurrent
// use.
type Reader struct {
	source io.Reader
	finder *Finder
	buffer []byte
	ready  int
	err    error
}

// readerBlockBytes is the maximum number of bytes read from the source at a time.
const readerBlockBytes = 32 << 10

// Reader returns a Reader of source. Its Read returns ErrKeyFound once the body
// contains a key.
func (f *Finder) Reader(source io.Reader) *Reader {
	return &Reader{source: source, finder: f}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for r.ready == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.fill()
	}
	n := copy(p, r.buffer[:r.ready])
	r.buffer = r.buffer[n:]
	r.ready -= n
	return n, nil
}

// fill reads a block and determines how much of the buffer may be returned.
func (r *Reader) fill() {
	block := make([]byte, len(r.buffer)+readerBlockBytes)
	kept := copy(block, r.buffer)
	n, err := r.source.Read(block[kept:])
	r.buffer = block[:kept+n]
	if r.finder.Contains(r.buffer) {
		r.ready, r.err = 0, ErrKeyFound
		return
	}
	r.err = err
	if err != nil {
		r.ready = len(r.buffer)
		return
	}
	// A key may continue beyond the end of the block, so hold back the length of
	// the longest escaped key.
	r.ready = max(0, len(r.buffer)-maxUnescapePasses*maxEscapeBytes*max(keyLength, len(r.finder.presentedKey)))
}
