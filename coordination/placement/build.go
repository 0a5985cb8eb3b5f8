package placement

import "time"

// Build is a version of the servers' software.
type Build struct {
	Known   bool
	Version string
}

// entryRenewal is the time within which the entry of a server whose process has ended is removed, or names the process that
// has started in its place.
const entryRenewal = 10 * time.Second

// Build returns the build of the server that answers a placement.
func (p *Pool) Build(pl *Placement, now time.Time) Build {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.build(pl.server, now)
}

// build returns the build of a server. After its process has ended, another one may answer at its address, under its id and with
// other software, before the entry says so. The caller holds the lock.
func (p *Pool) build(s *server, now time.Time) Build {
	switch {
	case s.endedAt.IsZero():
	case p.renewedSince(s.endedAt, now):
		s.endedAt = time.Time{}
	default:
		return Build{}
	}
	return Build{Known: true, Version: s.Version}
}

// renewedSince reports whether the entries of servers that ended at a time have been removed or renewed since.
func (p *Pool) renewedSince(ended, now time.Time) bool {
	current := p.settings.CurrentSince
	if current.IsZero() {
		return false
	}
	if current.After(ended) {
		ended = current
	}
	return now.Sub(ended) >= entryRenewal
}

// allowsBuild reports whether a server may be used for a request that requires a build. The caller holds the lock.
func (p *Pool) allowsBuild(s *server, required Build, now time.Time) bool {
	return !required.Known || p.build(s, now) == required
}
