package instance

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/transport/peer"
)

// announceLimit bounds how long a request waits for the news of its crash to
// reach the peers.
const announceLimit = 500 * time.Millisecond

// announceCrash spreads a crash and returns when the peers have it. Without the
// wait the request's next attempt, or its caller who sends it again through
// another instance, would be faster than the news and crash a third server.
func (i *Instance) announceCrash() {
	limit := time.NewTimer(announceLimit)
	defer limit.Stop()
	told := make(chan struct{})
	select {
	case i.crashes <- told:
	case <-limit.C:
		return
	}
	select {
	case <-told:
	case <-limit.C:
	}
}

// exchangeCrashes exchanges with the peers when crashes were seen here. All that
// wait share one exchange.
func (i *Instance) exchangeCrashes(ctx context.Context) {
	for {
		var waiting []chan struct{}
		select {
		case told := <-i.crashes:
			waiting = append(waiting, told)
		case <-ctx.Done():
			return
		}
		for more := true; more; {
			select {
			case told := <-i.crashes:
				waiting = append(waiting, told)
			default:
				more = false
			}
		}
		i.exchangeAll(ctx)
		for _, told := range waiting {
			close(told)
		}
	}
}

func (i *Instance) quarantines() []*peerpb.Quarantine {
	return peer.EncodeQuarantines(i.quarantine.Records(time.Now()))
}
