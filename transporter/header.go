package transporter

import (
	"iter"
	"net/http"
	"strconv"
	"strings"
)

// hopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Proxy-Authorization", "Expect",
}

// RemoveHopHeaders removes from h the headers that apply to a single connection,
// including those that its Connection header lists.
func RemoveHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// RefuseEncodings makes a request that states encodings of its answer ask for none. An
// encoded answer is not the server's own, and counts as broken.
func RefuseEncodings(h http.Header) {
	if len(h["Accept-Encoding"]) > 0 {
		h.Set("Accept-Encoding", "identity")
	}
}

// splitList yields the non-empty elements of a comma-separated header value.
func splitList(list string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(list, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}

// framingHeaders are written by this package. A header of a request that named another host
// or length would make two requests of one, or none.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// ValidTarget reports whether a target is an absolute path, with or without a query, that can
// stand in the first line of a request.
func ValidTarget(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// TargetError reports that a request cannot be sent, since its target is not valid.
type TargetError struct{ Target string }

func (e *TargetError) Error() string { return "no valid path: " + strconv.Quote(e.Target) }
