package configwatch

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/service"
)

// KindWithdrawn is the kind of a withdrawn key's marker in the store.
const KindWithdrawn service.Kind = "withdrawn"

// Document is a stored document.
type Document struct {
	Key      string
	Revision int64 // rank of the write in the store; 0 for a withdrawal that is not stored yet
	Value    []byte
	Deleted  bool
	Nonce    string // of the write; a UUIDv7
}

// WithdrawnKeyID returns the id of the key that the document withdraws.
func (d *Document) WithdrawnKeyID() (string, bool) {
	return strings.CutPrefix(d.Key, service.StoreKey(KindWithdrawn, ""))
}

// compare orders the writes of one document by their nonces, each of which is above
// the nonce of the write that it replaced. Ranks are no substitute: a store that was
// restored, and is written to before an instance notices, gives a later write a lower
// rank. Ranks order only writes without a nonce, which other programs make.
func compare(a, b *Document) int {
	return cmp.Or(cmp.Compare(a.Nonce, b.Nonce), cmp.Compare(a.Revision, b.Revision))
}

// nonceTime returns when a nonce was created, in milliseconds since 1970; 0 if it is
// not a UUIDv7.
func nonceTime(nonce string) int64 {
	id, err := uuid.Parse(nonce)
	if err != nil || id.Version() != 7 {
		return 0
	}
	seconds, nanos := id.Time().UnixTime()
	return seconds*1000 + nanos/1e6
}

const bucketCount = 256

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// digest returns the document's contribution to its bucket's hash. A withdrawal
// contributes its key alone, so that its digest does not change when it is stored.
func (d *Document) digest() uint64 {
	_, withdrawn := d.WithdrawnKeyID()
	switch {
	case withdrawn:
		return xxhash.Sum64String(d.Key)
	case d.Nonce == "":
		return xxhash.Sum64String(d.Key + "\x00" + strconv.FormatInt(d.Revision, 36))
	}
	return xxhash.Sum64String(d.Key + "\x00" + d.Nonce)
}
