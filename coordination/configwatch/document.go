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
	Revision int64 // rank of its place in the store; 0 for a withdrawal that is not in the store yet
	Value    []byte
	Deleted  bool
	Nonce    string // of the write, a UUIDv7
}

// WithdrawnKeyID returns the id of the key that the document withdraws.
func (d *Document) WithdrawnKeyID() (string, bool) {
	return strings.CutPrefix(d.Key, service.StoreKey(KindWithdrawn, ""))
}

// compare orders the writes of one document by their nonces, each of which comes
// after the one that it replaced. Ranks would not do: a store that was restored
// and is written to before an instance notices gives a later write a lower rank.
// They order only writes of other programs, which have no nonce.
func compare(a, b *Document) int {
	return cmp.Or(cmp.Compare(a.Nonce, b.Nonce), cmp.Compare(a.Revision, b.Revision))
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
	_, withdrawn := d.WithdrawnKeyID()
	switch {
	case withdrawn:
		return xxhash.Sum64String(d.Key)
	case d.Nonce == "":
		return xxhash.Sum64String(d.Key + "\x00" + strconv.FormatInt(d.Revision, 36))
	}
	return xxhash.Sum64String(d.Key + "\x00" + d.Nonce)
}
