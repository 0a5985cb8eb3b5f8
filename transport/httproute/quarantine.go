package httproute

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
)

// partsOf returns the keys of the parts of a prompt that may be blamed for a crash.
func partsOf(service string, segments []placement.PromptSegment) []quarantine.PartKey {
	ids := make([]uint64, len(segments))
	for i, s := range segments {
		ids[i] = s.ID
	}
	return quarantine.KeysOfParts(service, ids)
}

// suspectsOf returns the keys of all that may be blamed for a crash: a request with a fingerprint and the parts of its prompt.
func suspectsOf(print string, parts []quarantine.PartKey) []quarantine.PartKey {
	return append(slices.Clone(parts), quarantine.RequestKey(print))
}

// checkQuarantine refuses a request that crashed servers, or one with a part in its prompt that does.
func (f *Front) checkQuarantine(r *request) *failure {
	verdict, wait := f.Local.Parts.Admit(r.suspects, r.arrived)
	if verdict == quarantine.Refused {
		f.Metrics.partRefused(r.service)
		return &failure{run: runNotRun, reason: reasonQuarantine, retryAfter: wait}
	}
	if verdict == quarantine.Trial {
		r.trial = true
		f.Metrics.partTried(r.service)
		f.Log.Info("prompt_part_tried", "request", r.RequestID, "service", r.service, "parts", r.parts, "fingerprint", r.print)
	}
	return nil
}

// endTrial lets another request take the place of a trial that did not run.
func (f *Front) endTrial(r *request, failed *failure) {
	if r.trial && failed != nil && failed.run == runNotRun {
		f.Local.Parts.AbandonTrial(r.suspects)
	}
}

// partsBanned reports whether the request or those with a part of its prompt have come to be refused since it was admitted.
func (f *Front) partsBanned(r *request, now time.Time) bool {
	return !r.trial && f.Local.Parts.Banned(r.suspects, now)
}
