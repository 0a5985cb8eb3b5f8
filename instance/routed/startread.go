package routed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/state/mirror"
)

// Load pattern: a fleet of a thousand instances before ten thousand backend servers starts at once. If
// each instance reads all entries, the store sends them a thousand times over one link, which takes longer
// than callers wait. So a list of more than one page is read by a few instances of each failure domain,
// chosen by the items of the instances in the store, and the others receive it from these.
const (
	// startReadersPerDomain is how many instances of a failure domain read all entries at a start: two, in
	// case that one does not come back.
	startReadersPerDomain = 2
	// startReadTimeout is how long after its start an instance waits for the entries from another one
	// before it reads them itself: a reader behind a narrow link needs half of it.
	startReadTimeout = 4 * time.Second
	// startReadInterval is the time between two attempts.
	startReadInterval = 200 * time.Millisecond
)

// startReaders are the peer addresses of the instances from which the entries are received at a start.
type startReaders struct {
	local    []string // of the failure domain
	others   []string // of the region's other failure domains
	isReader bool     // this instance reads them itself
}

// pick draws a reader, of another failure domain once the local ones have failed.
func (r *startReaders) pick(failures int) string {
	addresses := r.local
	if failures >= len(r.local) {
		addresses = slices.Concat(r.local, r.others)
	}
	return addresses[rand.IntN(len(addresses))]
}

// errListLong means that a list is longer than one page, and other instances read it.
var errListLong = errors.New("the list is read by other instances")

// setStartReaders derives the readers from the instances' items.
func (n *Instance) setStartReaders(items map[string]memberItem) {
	byDomain := make(map[string][]configwatch.Candidate)
	for _, m := range items {
		if m.Region == n.settings.Region {
			byDomain[m.Domain] = append(byDomain[m.Domain], configwatch.Candidate{ID: m.ID, LinkMbps: m.Link})
		}
	}
	readers := &startReaders{}
	for domain, candidates := range byDomain {
		for _, id := range configwatch.Watchers(candidates, startReadersPerDomain) {
			switch {
			case id == n.settings.ID:
				readers.isReader = true
			case domain == n.settings.Domain:
				readers.local = append(readers.local, items[id].Peer)
			default:
				readers.others = append(readers.others, items[id].Peer)
			}
		}
	}
	n.startReaders.Store(readers)
}

// readsLongList reports whether this instance reads a list of several pages itself: if it is a reader, or
// nothing has come from one in time.
func (n *Instance) readsLongList(ctx context.Context) bool {
	for ctx.Err() == nil && n.startReaders.Load() == nil && n.uptime() < startReadTimeout {
		sleep(ctx, startReadInterval)
	}
	readers := n.startReaders.Load()
	return readers == nil || readers.isReader || len(readers.local) == 0 || n.uptime() >= startReadTimeout
}

// readServers lists the entries of the backend servers for an instance that knows none.
func (n *Instance) readServers(ctx context.Context) (mirror.Delta, error) {
	found, revision, complete, err := n.source.ListServers(ctx, func() bool { return n.readsLongList(ctx) })
	if err == nil && !complete {
		err = errListLong
	}
	return mirror.Delta{Revision: revision, Items: items(found), Full: true}, err
}

// receiveServers receives the entries from a reader, and returns when they are known or the time for that
// has passed.
func (n *Instance) receiveServers(ctx context.Context) {
	readers := n.startReaders.Load()
	for failures := 0; ctx.Err() == nil && n.servers.mirror.Revision() == 0 && n.uptime() < startReadTimeout; failures++ {
		address := readers.pick(failures)
		if err := n.receiveOnce(ctx, address); err != nil {
			n.log.Debug("start_reader_failed", "address", address, "error", err.Error())
		}
		sleep(ctx, startReadInterval/2+rand.N(startReadInterval))
	}
}

// receiveOnce follows an instance until the entries have come.
func (n *Instance) receiveOnce(ctx context.Context, address string) error {
	client, err := n.pool.Get(address)
	if err != nil {
		return err
	}
	req := n.followRequest()
	return n.receiveUpdates(ctx, client, req, origin{source: sourceWatcher, peer: address}, func() bool {
		return n.servers.mirror.Revision() == 0
	})
}
