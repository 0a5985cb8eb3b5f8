package routed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/transport/platform"
)

// The store may cut a watch that waits, so a watch that fails does not show that the store is
// unreachable: a call beside it decides. While a store that answers calls fails watches, changes are
// read without waiting, and where that fails too, as lists.

// readWay is a way to read a prefix from the store.
type readWay string

const (
	readList  readWay = "list"  // all items
	readWatch readWay = "watch" // the changes; waits for one
	readPoll  readWay = "poll"  // the changes until now, by a watch that does not wait
)

// listInterval is the time between lists while no watch succeeds.
const listInterval = time.Second

// errOnlyWatch marks the failure of a watch beside which the store answered a call.
var errOnlyWatch = errors.New("the store answers calls")

// prefixReader keeps the mirror of a prefix up to date from the store.
type prefixReader struct {
	n           *Instance
	f           *prefixSync
	way         readWay
	listed      bool // a list has come
	watchesFail bool // the last watch that waited failed
	pollsFail   bool // the last poll failed
	backoff     time.Duration
}

// syncPrefix lists the prefix and watches it until ctx ends.
func (n *Instance) syncPrefix(ctx context.Context, f *prefixSync) {
	r := &prefixReader{n: n, f: f, way: readList, backoff: minBackoff}
	for ctx.Err() == nil {
		r.readOnce(ctx)
	}
}

func (r *prefixReader) readOnce(ctx context.Context) {
	if r.way != readList && r.f.failing() && !r.awaitStore(ctx) {
		return
	}
	began := time.Now()
	delta, err := r.read(ctx)
	switch {
	case err == nil:
		r.succeeded(ctx, delta)
	case errors.Is(err, errListLong):
		r.n.markStoreReachable(r.f)
		r.n.receiveServers(ctx)
		if r.f.mirror.Revision() != 0 {
			r.way = readWatch
		}
	case errors.Is(err, platform.ErrCompacted):
		r.n.log.Info("store_history_gone", "prefix", r.f.prefix, "after", configwatch.FormatRank(r.f.mirror.Revision()))
		r.way = readList
		r.wait(ctx)
	case ctx.Err() != nil:
	case errors.Is(err, errOnlyWatch):
		r.watchFailed(ctx, began, err)
	default:
		r.n.markStoreFailing(r.f, err)
		r.wait(ctx)
	}
}

// awaitStore makes one call of a store that did not answer the last one. It returns true when the
// store answers again.
func (r *prefixReader) awaitStore(ctx context.Context) bool {
	if err := r.n.askStore(ctx); err != nil {
		if ctx.Err() == nil {
			r.n.markStoreFailing(r.f, err)
			r.wait(ctx)
		}
		return false
	}
	r.n.markStoreReachable(r.f)
	r.way = readPoll
	return true
}

// wait sleeps between calls that fail.
func (r *prefixReader) wait(ctx context.Context) {
	sleep(ctx, r.backoff/2+rand.N(r.backoff))
	r.backoff = min(2*r.backoff, maxBackoff)
}

func (r *prefixReader) succeeded(ctx context.Context, delta mirror.Delta) {
	r.backoff = minBackoff
	r.n.markStoreReachable(r.f)
	r.n.applyDelta(r.f, delta, r.origin())
	switch r.way {
	case readWatch:
		r.watchesFail = false
	case readPoll:
		r.pollsFail = false
	case readList:
		if r.pollsFail {
			r.way = readPoll
			sleep(ctx, listInterval)
			return
		}
	}
	r.way = readWatch
	if len(delta.Items) > 0 && r.f.debounce > 0 {
		sleep(ctx, r.f.debounce)
	}
}

// watchFailed goes on after a watch that failed while the store answers calls. A store that fails each
// at once gets no more calls than one that is away.
func (r *prefixReader) watchFailed(ctx context.Context, began time.Time, err error) {
	r.n.syncMetrics.countFailure(sourceStore)
	if r.way == readPoll {
		r.pollsFail, r.way = true, readList
		return
	}
	if !r.watchesFail {
		r.n.log.Info("watch_cut", "prefix", r.f.prefix, "after_ms", time.Since(began).Milliseconds(), "error", err.Error())
	}
	r.watchesFail, r.way = true, readPoll
	sleep(ctx, maxBackoff-time.Since(began))
}

// origin returns where a delta came from. What the first list lacks was removed at a time at which
// this instance made no calls, and may not know that the store was away.
func (r *prefixReader) origin() origin {
	from := origin{source: sourceStore}
	if !r.listed {
		from.hold = backends.ReturnGrace
	}
	r.listed = true
	return from
}

func (r *prefixReader) read(ctx context.Context) (mirror.Delta, error) {
	known := r.f.mirror.Revision()
	switch {
	case known == 0 && r.f == r.n.servers:
		return r.n.readServers(ctx)
	case known == 0 || r.way == readList:
		found, revision, err := r.n.source.Store().List(ctx, r.f.prefix, 0)
		return mirror.Delta{Revision: revision, Items: items(found), Full: true}, err
	case r.way == readPoll:
		return r.watch(ctx, known, 0)
	default:
		return r.watch(ctx, known, watchTimeout)
	}
}

// watch returns the changes after a revision. Its error is marked with errOnlyWatch when the store
// answers a call: one after a watch that was cut, and for a watch without an answer one made while
// the answer was due, since a store that answers after that may just have come back.
func (r *prefixReader) watch(ctx context.Context, after int64, wait time.Duration) (mirror.Delta, error) {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var answeredInTime atomic.Bool
	due := wait + unreachableAfter
	overdue := time.AfterFunc(due, func() {
		askCtx, cancel := context.WithTimeout(watchCtx, unreachableAfter)
		defer cancel()
		answeredInTime.Store(r.n.askStore(askCtx) == nil)
	})
	defer overdue.Stop()
	began := time.Now()
	found, revision, err := r.n.source.Store().Watch(watchCtx, r.f.prefix, after, wait)
	switch {
	case err == nil:
		return mirror.Delta{After: after, Revision: revision, Items: items(found)}, nil
	case errors.Is(err, platform.ErrCompacted), ctx.Err() != nil:
		return mirror.Delta{}, err
	case time.Since(began) < due && r.n.askStore(ctx) == nil, answeredInTime.Load():
		return mirror.Delta{}, errors.Mark(err, errOnlyWatch)
	}
	return mirror.Delta{}, err
}

// askStore makes a small call of the store. It returns nil if the store answers.
func (n *Instance) askStore(ctx context.Context) error {
	_, err := n.source.Store().Get(ctx, membersPrefix+n.settings.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
