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
	// keyPrefix makes keys easy to find in places where none should be.
	keyPrefix = "jk-"
	// keyBytes is the randomness of a key.
	keyBytes = 32
)

// NewKey makes a key for a workspace: the key as callers send it, and what the
// record keeps of it.
func NewKey(id, workspace string) (string, registrar.Key, error) {
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", registrar.Key{}, eris.Wrap(err, "make key")
	}
	text := keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	return text, HashedKey(id, workspace, text), nil
}

// HashedKey is what the record keeps of the key with this text.
func HashedKey(id, workspace, text string) registrar.Key {
	hash := sha256.Sum256([]byte(text))
	return registrar.Key{ID: id, Workspace: workspace, Hash: hash[:], CreatedAt: timer.Wall()}
}
