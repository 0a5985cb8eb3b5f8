package peer

import (
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// EncodeQuarantines converts quarantine records to messages.
func EncodeQuarantines(records []quarantine.Record) []*peerpb.Quarantine {
	out := make([]*peerpb.Quarantine, 0, len(records))
	for _, r := range records {
		q := &peerpb.Quarantine{Fingerprint: r.Fingerprint, Crashes: uint32(r.Crashes), UntilUnixMs: r.Until.UnixMilli()}
		for _, c := range r.Seen {
			q.Seen = append(q.Seen, &peerpb.Crash{Id: c.ID, UntilUnixMs: c.Until.UnixMilli()})
		}
		out = append(out, q)
	}
	return out
}

// DecodeQuarantine converts a message to a quarantine record.
func DecodeQuarantine(q *peerpb.Quarantine) quarantine.Record {
	r := quarantine.Record{
		Fingerprint: q.GetFingerprint(), Crashes: int(q.GetCrashes()), Until: time.UnixMilli(q.GetUntilUnixMs()),
	}
	for _, c := range q.GetSeen() {
		r.Seen = append(r.Seen, quarantine.Crash{ID: c.GetId(), Until: time.UnixMilli(c.GetUntilUnixMs())})
	}
	return r
}
