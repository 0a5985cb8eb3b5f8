package platform

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// newNonce returns a UUIDv7 that sorts after another one. Nonces order the writes of a key even
// when the store was restored and assigns revisions again. The writers' clocks
// alone do not suffice: a writer with a slow clock would sort its write before the one that
// it replaces.
func newNonce(after string) (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "nonce")
	}
	previous, err := uuid.Parse(after)
	if err != nil || id.String() > after {
		return id.String(), nil
	}
	// The first 48 bits are milliseconds.
	milliseconds := binary.BigEndian.Uint64(previous[:]) >> 16
	random := binary.BigEndian.Uint64(id[:]) & (1<<16 - 1)
	binary.BigEndian.PutUint64(id[:], (milliseconds+1)<<16|random)
	return id.String(), nil
}
