package instance

import (
	"context"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/transport/peer"
)

// announceTimeout bounds how long a request waits for its crash to be announced to the
// peers.
const announceTimeout = 500 * time.Millisecond

// announceCrash announces a crash and returns when the peers know of it. Without the wait,
// the request's next attempt, or a retry by its caller through another instance, would
// overtake the announcement and crash a third server.
func (i *Instance) announceCrash() {
	limit := time.NewTimer(announceTimeout)
	defer limit.Stop()
	announced := make(chan struct{})
	select {
	case i.crashes <- announced:
	case <-limit.C:
		return
	}
	select {
	case <-announced:
	case <-limit.C:
	}
}

// exchangeCrashes exchanges with all peers after crashes were seen on this instance. All
// waiting requests share one exchange.
func (i *Instance) exchangeCrashes(ctx context.Context) {
	for {
		var waiting []chan struct{}
		select {
		case announced := <-i.crashes:
			waiting = append(waiting, announced)
		case <-ctx.Done():
			return
		}
		for more := true; more; {
			select {
			case announced := <-i.crashes:
				waiting = append(waiting, announced)
			default:
				more = false
			}
		}
		i.exchangeAll(ctx)
		for _, announced := range waiting {
			close(announced)
		}
	}
}

// isReachable reports whether an instance with a hash of its id can be reached.
func (i *Instance) isReachable(idHash uint64) bool {
	return slices.ContainsFunc(i.members.Members(time.Now()), func(m membership.Member) bool {
		return m.Reachable && !m.Leaving() && quarantine.ReporterHash(m.Entry.GetId()) == idHash
	})
}

func (i *Instance) quarantines() []*peerpb.Quarantine {
	return peer.EncodeQuarantines(i.quarantine.Records(time.Now()))
}
