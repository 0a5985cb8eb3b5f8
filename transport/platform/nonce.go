package platform

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// newNonce returns a UUIDv7 that sorts after another one. Nonces order the
// writes of a key also when the store was restored and hands out revisions
// again; the writers' clocks alone would put a write behind the one that it
// replaces when its writer's clock is slow.
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
