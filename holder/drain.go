package holder

import "io"

// Drain reads and discards at most n bytes of r, so that a caller that is still sending when
// it is refused can read the answer: closing a connection with unread data resets it, which
// discards the answer too.
func Drain(r io.Reader, n int64) { _, _ = io.CopyN(io.Discard, r, n) }
