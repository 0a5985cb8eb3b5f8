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

// EncodePartQuarantines converts records of parts to messages.
func EncodePartQuarantines(records []quarantine.PartRecord) []*peerpb.PartQuarantine {
	out := make([]*peerpb.PartQuarantine, 0, len(records))
	for _, r := range records {
		q := &peerpb.PartQuarantine{Part: uint64(r.Part)}
		for _, c := range r.Crashes {
			q.Crashes = append(q.Crashes, &peerpb.PartCrash{
				Crash: c.Key, AgeMs: uint32(c.Age.Milliseconds()), Begun: c.Begun, Cleared: c.Cleared,
				ClearedAgeMs: uint32(c.ClearedAge.Milliseconds()), Reporter: c.Reporter,
			})
		}
		out = append(out, q)
	}
	return out
}

// DecodePartQuarantines converts messages to records of parts.
func DecodePartQuarantines(messages []*peerpb.PartQuarantine) []quarantine.PartRecord {
	var out []quarantine.PartRecord
	for _, q := range messages {
		r := quarantine.PartRecord{Part: quarantine.PartKey(q.GetPart())}
		for _, c := range q.GetCrashes() {
			r.Crashes = append(r.Crashes, quarantine.PartCrash{
				Key: c.GetCrash(), Age: time.Duration(c.GetAgeMs()) * time.Millisecond, Begun: c.GetBegun(), Cleared: c.GetCleared(),
				ClearedAge: time.Duration(c.GetClearedAgeMs()) * time.Millisecond, Reporter: c.GetReporter(),
			})
		}
		out = append(out, r)
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
