package instance

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// announceCrash spreads a crash at once: with the next exchange a caller who
// sends the request again through another instance would be faster.
func (i *Instance) announceCrash() {
	select {
	case i.crashes <- struct{}{}:
	default: // an exchange is due already and will carry this one too
	}
}

// exchangeCrashes exchanges with the peers as soon as a crash was seen here.
func (i *Instance) exchangeCrashes(ctx context.Context) {
	for {
		select {
		case <-i.crashes:
			i.exchangeAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func decodeQuarantine(q *peerpb.Quarantine) quarantine.Record {
	r := quarantine.Record{
		Fingerprint: q.GetFingerprint(), Crashes: int(q.GetCrashes()), Until: time.UnixMilli(q.GetUntilUnixMs()),
	}
	for _, c := range q.GetSeen() {
		r.Seen = append(r.Seen, quarantine.Crash{ID: c.GetId(), Until: time.UnixMilli(c.GetUntilUnixMs())})
	}
	return r
}

func (i *Instance) quarantines() []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, r := range i.quarantine.Records(time.Now()) {
		q := &peerpb.Quarantine{Fingerprint: r.Fingerprint, Crashes: uint32(r.Crashes), UntilUnixMs: r.Until.UnixMilli()}
		for _, c := range r.Seen {
			q.Seen = append(q.Seen, &peerpb.Crash{Id: c.ID, UntilUnixMs: c.Until.UnixMilli()})
		}
		out = append(out, q)
	}
	return out
}
