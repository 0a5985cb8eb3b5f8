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
	Revision int64 // its rank; 0 for a withdrawal that is not in the store yet
	Value    []byte
	Deleted  bool
	Nonce    string // of the write, a UUIDv7
}

// WithdrawnKeyID returns the id of the key that the document withdraws.
func (d *Document) WithdrawnKeyID() (string, bool) {
	return strings.CutPrefix(d.Key, service.StoreKey(KindWithdrawn, ""))
}

// compare orders two writes of one document. Two writes can have one rank only
// when a restored store was not noticed at once; the later one then counts
// everywhere, so that the fleet is not split between them.
func compare(a, b *Document) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Nonce, b.Nonce))
}

// writtenAt returns when a nonce was made, in milliseconds since 1970.
func writtenAt(nonce string) int64 {
	id, err := uuid.Parse(nonce)
	if err != nil || id.Version() != 7 {
		return 0
	}
	seconds, nanos := id.Time().UnixTime()
	return seconds*1000 + nanos/1e6
}

const bucketCount = 256

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// digest is what the document adds to its bucket's hash. A withdrawal counts by
// its key alone: it is the same before and after the store has it.
func (d *Document) digest() uint64 {
	if _, ok := d.WithdrawnKeyID(); ok {
		return xxhash.Sum64String(d.Key)
	}
	return xxhash.Sum64String(d.Key + "\x00" + strconv.FormatInt(d.Revision, 36) + "\x00" + d.Nonce)
}
