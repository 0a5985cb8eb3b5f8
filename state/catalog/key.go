package catalog

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/basilroute/basilroute/service"
)

const secretBytes = 24

// KeyID returns the id inside a presented key.
func KeyID(presented string) (string, bool) {
	rest, ok := strings.CutPrefix(presented, KeyPrefix)
	if !ok {
		return "", false
	}
	id, secret, ok := strings.Cut(rest, "_")
	return id, ok && id != "" && secret != ""
}

// NewKey returns a new key in the form that a caller presents, and the record of it for
// the account's document.
func NewKey(id string) (string, service.Key) {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails since Go 1.24
	presented := KeyPrefix + id + "_" + hex.EncodeToString(secret)
	sum := sha256.Sum256([]byte(presented))
	return presented, service.Key{ID: id, SHA256: hex.EncodeToString(sum[:])}
}
