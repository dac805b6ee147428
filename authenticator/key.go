package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

const (
	// keyPrefix allows keys to be detected in data that must not contain any.
	keyPrefix = "jk-"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
)

// NewKey generates a key for a workspace. It returns the text that callers send,
// and the entry for the record, which contains only the hash.
func NewKey(id, workspace string) (string, registrar.Key, error) {
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", registrar.Key{}, eris.Wrap(err, "generate key")
	}
	text := keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	return text, HashedKey(id, workspace, text), nil
}

// HashedKey returns the entry for the record of the key with this text, created
// now.
func HashedKey(id, workspace, text string) registrar.Key {
	hash := sha256.Sum256([]byte(text))
	return registrar.Key{ID: id, Workspace: workspace, Hash: hash[:], CreatedAt: timer.Wall()}
}
