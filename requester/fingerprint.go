package requester

import "github.com/cespare/xxhash/v2"

// NewFingerprint returns the Request.Fingerprint of a call. It depends only on
// the method, path and body, so calls that have the same effect on a backend
// server share it, whatever their class and workspace.
func NewFingerprint(method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The Write methods of a Digest never return an error.
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}
