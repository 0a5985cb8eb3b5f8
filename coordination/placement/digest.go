package placement

import "time"

// Instances of a region send to the same servers and each sees only its own part of
// the load: with twenty of them a server that has half a second of prompts to read
// looks idle to most. So each tells the others several times a second what it has
// under way at each server, how its requests ended there, and which shared parts it
// sent there.

// peerFresh is how long another instance's word counts: a few of its messages may be
// lost.
const peerFresh = 400 * time.Millisecond

// MaxDispatches bounds the dispatches of one digest.
const MaxDispatches = 64

// ServerLoad is what one instance has under way at a server.
type ServerLoad struct {
	Server        uint32 // hash of the id
	PendingTokens int    // prompt tokens whose reading has not ended
	UrgentTokens  int    // those of the highest urgency
	InFlight      int
	Served        int  // ended well since the last digest
	Failed        int  // failed since then
	Down          bool // nothing listens there
}

// Dispatch says that a server was sent shared parts.
type Dispatch struct {
	Server   uint32
	Segments []PromptSegment
}

// LoadReport is what an instance tells the others of its region.
type LoadReport struct {
	Servers    []ServerLoad
	Dispatches []Dispatch
}

// peerWord is the last word of another instance.
type peerWord struct {
	at    time.Time
	loads []peerLoad
}

type peerLoad struct {
	ServerLoad
	server *server
}

// peerTotals sums up what the other instances have under way at a server. A choice looks
// at every server, so the sums are kept as words come and go: summed up anew for each
// choice, they are most of its time where many instances speak.
type peerTotals struct{ pending, urgent, inFlight int }

func (t *peerTotals) add(load *ServerLoad, sign int) {
	t.pending += sign * load.PendingTokens
	t.urgent += sign * load.UrgentTokens
	t.inFlight += sign * load.InFlight
}

func (t *peerTotals) pendingOf(urgency int) float64 {
	if urgency <= 0 {
		return float64(t.urgent)
	}
	return float64(t.pending)
}

// forget takes the last word of another instance out of the sums.
func (p *Pool) forget(from string) {
	word := p.peers[from]
	if word == nil {
		return
	}
	for i := range word.loads {
		word.loads[i].server.peers.add(&word.loads[i].ServerLoad, -1)
	}
	delete(p.peers, from)
}

// forgetSilent forgets the words that are too old to count.
func (p *Pool) forgetSilent(now time.Time) {
	for from, word := range p.peers {
		if now.Sub(word.at) > peerFresh {
			p.forget(from)
		}
	}
}

// note keeps a dispatch for the next digest.
func (p *Pool) note(s *server, parts []PromptSegment) {
	if len(parts) < 2 || len(p.sent) >= MaxDispatches {
		return
	}
	p.sent = append(p.sent, Dispatch{Server: uint32(s.hash), Segments: parts[:len(parts)-1]})
}

// LoadReport returns what the others are to know. Servers at which nothing is under way
// are left out: what is not named is none.
func (p *Pool) LoadReport() LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := LoadReport{Dispatches: p.sent}
	p.sent = nil
	for _, s := range p.servers {
		if s.inFlight == 0 && s.newServed == 0 && s.newFailed == 0 && !s.newDown {
			continue
		}
		d.Servers = append(d.Servers, ServerLoad{
			Server: uint32(s.hash), PendingTokens: int(s.allPending()), UrgentTokens: int(s.pendingOf(0)), InFlight: s.inFlight,
			Served: s.newServed, Failed: s.newFailed, Down: s.newDown,
		})
		s.newServed, s.newFailed, s.newDown = 0, 0, false
	}
	return d
}

// ApplyReport takes in the digest of another instance.
func (p *Pool) ApplyReport(from string, d *LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(from)
	word := &peerWord{at: now}
	for _, load := range d.Servers {
		if s := p.byHash[load.Server]; s != nil {
			word.loads = append(word.loads, peerLoad{ServerLoad: load, server: s})
			s.peers.add(&load, 1)
			s.heardOutcomes(&load, now)
		}
	}
	p.peers[from] = word
	for _, sent := range d.Dispatches {
		if s := p.byHash[sent.Server]; s != nil {
			s.cache.touch(sent.Segments, p.cacheCapacity())
		}
	}
}

// maxOutcomes bounds the outcomes of one digest that count: with more the share of
// failures is that of the digest alone.
const maxOutcomes = 16

// heardOutcomes counts what became of another instance's requests. With many instances
// each sees a server too seldom to find out that it fails part of them.
func (s *server) heardOutcomes(load *ServerLoad, now time.Time) {
	if load.Down {
		s.down = true
		s.goneAside(now)
	}
	if load.InFlight > 0 && now.Before(s.asideUntil) {
		s.probedAt = now // another instance sees whether it has recovered
	}
	requests := load.Served + load.Failed
	if requests > 0 {
		s.countAll(min(requests, maxOutcomes), float64(load.Failed)/float64(requests), now)
	}
}

func (p *Pool) cacheCapacity() int { return int(cacheShare * float64(p.settings.CacheTokens)) }
