package rendezvous

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Owners assigns each key to one of the members of a set. It remembers the owners until the set
// changes: with hundreds of members and thousands of keys, each choice would hash hundreds of
// thousands of pairs. It is safe for concurrent use.
type Owners struct {
	mu      sync.Mutex
	members *[]string // the set of which the owners are known
	owners  map[string]string
}

// Of returns the owner of a key, or an empty string if there are no members. A changed set has to
// be passed as another pointer.
func (o *Owners) Of(key string, members *[]string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.members != members {
		o.members, o.owners = members, make(map[string]string)
	}
	owner, known := o.owners[key]
	if !known {
		owner = top(*members, key)
		o.owners[key] = owner
	}
	return owner
}

// top returns the member with the highest hash for a key.
func top(members []string, key string) string {
	out, best := "", uint64(0)
	var digest xxhash.Digest
	for _, member := range members {
		digest.Reset()
		_, _ = digest.WriteString(member) // writing to a hash does not fail
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(key)
		if score := digest.Sum64(); out == "" || score > best {
			out, best = member, score
		}
	}
	return out
}
