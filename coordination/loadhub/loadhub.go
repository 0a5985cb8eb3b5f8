// Package loadhub decides whom an instance tells its load, several times a second, and what it
// makes of what it hears.
//
// # The load that it answers
//
// The instances of a region send to the same servers. Where each tells all others, their
// messages grow with the square of the region's instances, and with some sixty of them cost more
// than answering callers does. So in a large region an instance tells the hubs of its failure
// domain: two instances that all agree on. A hub answers with the sums of all others' load, and
// the hubs of a region's domains tell each other those of their domains. An instance whose hubs
// are silent tells those of the other domains, and where these are silent, too, all others, as
// in a small region.
//
// The package does no I/O: messages and the time come in with each call, messages go out.
package loadhub

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/placement"
)

const (
	// ReportInterval is the time between messages while something is under way: shorter than it
	// takes an engine to read one prompt of ordinary size.
	ReportInterval = 60 * time.Millisecond

	// directPeers is the largest number of others that are all told.
	directPeers = 16
	hubCount    = 2 // of a failure domain, so that one may be lost
	// idleEvery is how often an instance with nothing under way tells its hubs so, to be
	// told of the others when its next request comes.
	idleEvery = 200 * time.Millisecond
	// wordFresh is how long an instance's last word counts at a hub.
	wordFresh = 400 * time.Millisecond
	// hubSilent is how long a hub may say nothing until another one is listened to: a few of
	// its messages may be lost.
	hubSilent = 150 * time.Millisecond
	// hubsLost is how long all hubs may say nothing until others are told in their place.
	hubsLost = 400 * time.Millisecond
)

// Kind says what a message is.
type Kind int

// Kinds of messages.
const (
	Direct    Kind = iota // the sender's own load, to every other instance of the region
	HubReport             // the sender's own load, to a hub that is to answer
	RegionSum             // the load of all others of the region, from a hub
	DomainSum             // the load of the sender's failure domain, between hubs
)

// Message is what one instance tells another.
type Message struct {
	Kind   Kind
	From   string
	Domain string // the sender's
	Report placement.LoadReport
}

// Envelope is a message with whom it goes to.
type Envelope struct {
	To []netip.AddrPort
	Message
}

// Update is what an instance is to take in: the load of a source, which replaces what the
// source said before.
type Update struct {
	Source string
	Report placement.LoadReport
}

// regionSource names the sums of all others of the region.
const regionSource = "region"

// Peer is another instance of the region.
type Peer struct {
	ID, Domain string
	Address    netip.AddrPort
	Link       int // rate of its machine's link; 0 when not known
}

// Exchange is one instance's part. It is not safe for concurrent use.
type Exchange struct {
	self   Peer
	known  []Peer           // of the region, without this one
	peers  []netip.AddrPort // their addresses
	hubs   []netip.AddrPort // of the own domain, without this one
	others []netip.AddrPort // hubs of the region's other domains
	isHub  bool             // this instance is a hub of its domain

	told     time.Time // its hubs, last
	wasBusy  bool
	asking   time.Time // since when it asks hubs; zero before
	answered time.Time // by a hub of its own domain, last
	listened source    // the hub that it listens to
	words    map[string]*word
	sums     map[string]*domainSum
}

// source is whom some news is taken from.
type source struct {
	id string
	at time.Time
}

// accepts tells whether news from a sender is taken, and goes on with that sender. Two hubs
// tell the same: counted twice, their servers would look full.
func (s *source) accepts(id string, now time.Time) bool {
	if s.id != id && now.Sub(s.at) < hubSilent {
		return false
	}
	s.id, s.at = id, now
	return true
}

// word is what an instance said last.
type word struct {
	Message
	at      time.Time
	unheard bool // came since the last round

	asks     bool // it wants to be told the sums
	from     netip.AddrPort
	answered time.Time
	toldLoad bool // the last answer named some load
}

type domainSum struct {
	source
	digest  placement.LoadReport
	unheard bool
}

// New returns the part of an instance that knows no others.
func New(id, domain string, link int) *Exchange {
	return &Exchange{self: Peer{ID: id, Domain: domain, Link: link}, words: make(map[string]*word), sums: make(map[string]*domainSum)}
}

// SetPeers takes in the other live instances of the region.
func (e *Exchange) SetPeers(peers []Peer) {
	if slices.Equal(peers, e.known) {
		return
	}
	e.known, e.peers, e.hubs, e.others, e.isHub = peers, nil, nil, nil, false
	byDomain := map[string][]Peer{e.self.Domain: {e.self}}
	for _, p := range peers {
		e.peers = append(e.peers, p.Address)
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}
	for domain, members := range byDomain {
		for _, hub := range hubsOf(members) {
			switch {
			case hub.ID == e.self.ID:
				e.isHub = true
			case domain == e.self.Domain:
				e.hubs = append(e.hubs, hub.Address)
			default:
				e.others = append(e.others, hub.Address)
			}
		}
	}
}

// hubsOf returns the hubs of a failure domain: those with the widest links, then by the hash.
func hubsOf(members []Peer) []Peer {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(hubScore(b.ID), hubScore(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked[:min(len(ranked), hubCount)]
}

func hubScore(id string) uint64 { return xxhash.Sum64String("load hub\x00" + id) }

// Round returns what to send now and what to take in. own is the own load; rounds are Every apart.
func (e *Exchange) Round(own placement.LoadReport, now time.Time) (out []Envelope, heard []Update) {
	busy := len(own.Servers) > 0 || len(own.Dispatches) > 0
	tell := busy || e.wasBusy // the last one says that nothing is left
	e.wasBusy = busy
	if !e.large() {
		return e.send(out, Direct, e.peers, own, tell), nil
	}
	e.forget(now)
	if e.asking.IsZero() {
		e.asking = now
	}
	if tell || now.Sub(e.told) >= idleEvery {
		e.told = now
		out = e.send(out, HubReport, e.hubs, own, true)
		out = e.send(out, HubReport, e.others, own, e.silent(e.answered, hubsLost, now))
	}
	out = e.send(out, Direct, e.peers, own, tell && e.silent(e.listened.at, e.patience(), now))
	return e.asHub(out, own, now)
}

// silent tells whether hubs have said nothing since a time, although they were asked, for too long.
func (e *Exchange) silent(since time.Time, limit time.Duration, now time.Time) bool {
	return !e.isHub && now.Sub(since) >= limit && now.Sub(e.asking) >= limit
}

// patience is how long no hub at all may answer: those of other domains are asked second.
func (e *Exchange) patience() time.Duration {
	if len(e.others) == 0 {
		return hubsLost
	}
	return 2 * hubsLost
}

// large tells whether the region is so large that not all others are told.
func (e *Exchange) large() bool { return len(e.peers) > directPeers }

func (e *Exchange) send(out []Envelope, kind Kind, to []netip.AddrPort, d placement.LoadReport, due bool) []Envelope {
	if !due || len(to) == 0 {
		return out
	}
	return append(out, Envelope{to, e.message(kind, d)})
}

func (e *Exchange) message(kind Kind, d placement.LoadReport) Message {
	return Message{Kind: kind, From: e.self.ID, Domain: e.self.Domain, Report: d}
}

// Receive takes in a message, and returns what to take in of it at once.
func (e *Exchange) Receive(m Message, from netip.AddrPort, now time.Time) (Update, bool) {
	switch m.Kind {
	case RegionSum:
		if e.isHub || !e.listens(&m, now) {
			return Update{}, false
		}
		return Update{regionSource, m.Report}, true
	case HubReport:
		e.hearWord(m, from, true, now)
		return Update{}, false
	case DomainSum:
		e.hearSum(m, now)
		return Update{}, false
	}
	switch {
	case e.large() && e.isHub:
		e.hearWord(m, from, false, now)
		return Update{}, false
	case now.Sub(e.listened.at) < hubsLost:
		return Update{}, false // it is in the sums that the hub tells
	}
	return Update{m.From, m.Report}, true
}

// listens tells whether the sums of a hub are taken in. One of the own domain goes before others.
func (e *Exchange) listens(m *Message, now time.Time) bool {
	if m.Domain != e.self.Domain {
		return e.listened.accepts(m.From, now)
	}
	if now.Sub(e.answered) >= hubSilent {
		e.listened = source{}
	}
	e.answered = now
	return e.listened.accepts(m.From, now)
}

func (e *Exchange) hearWord(m Message, from netip.AddrPort, asks bool, now time.Time) {
	w := e.words[m.From]
	if w == nil {
		w = &word{}
		e.words[m.From] = w
	}
	if w.unheard { // two since the last round
		m.Report = later(&w.Report, m.Report)
	}
	w.Message, w.at, w.unheard = m, now, true
	if asks {
		w.asks, w.from = true, from
	}
}

func (e *Exchange) hearSum(m Message, now time.Time) {
	s := e.sums[m.Domain]
	if s == nil {
		s = &domainSum{}
		e.sums[m.Domain] = s
	}
	if !s.accepts(m.From, now) {
		return
	}
	if s.unheard {
		m.Report = later(&s.digest, m.Report)
	}
	s.digest, s.unheard = m.Report, true
}

func (e *Exchange) forget(now time.Time) {
	for id, w := range e.words {
		if now.Sub(w.at) > wordFresh {
			delete(e.words, id)
		}
	}
	for domain, s := range e.sums {
		if now.Sub(s.at) > wordFresh {
			delete(e.sums, domain)
		}
	}
}

// asHub answers those who ask, tells the hubs of the other domains, and takes in the sums.
func (e *Exchange) asHub(out []Envelope, own placement.LoadReport, now time.Time) ([]Envelope, []Update) {
	if len(e.words) == 0 && !e.isHub {
		return out, nil
	}
	domain, region := e.heardLoad()
	var heard []Update
	if e.isHub {
		heard = append(heard, Update{regionSource, region.digest(nil, false)})
	}
	domain.add(&own, true)
	region.add(&own, true)
	for _, w := range e.words {
		out = e.answer(out, w, region, now)
		w.unheard = false
	}
	for _, s := range e.sums {
		s.unheard = false
	}
	return e.send(out, DomainSum, e.others, domain.digest(nil, false), e.isHub && len(domain.servers) > 0), heard
}

// heardLoad returns what the others of the own domain and of the region have under way.
func (e *Exchange) heardLoad() (domain, region *sum) {
	domain, region = newSum(), newSum()
	for _, w := range e.words {
		region.add(&w.Report, w.unheard)
		if w.Domain == e.self.Domain {
			domain.add(&w.Report, w.unheard)
		}
	}
	for _, s := range e.sums {
		region.add(&s.digest, s.unheard)
	}
	return domain, region
}

// answer tells the sums to an instance that asked, less often while there is no load.
func (e *Exchange) answer(out []Envelope, w *word, region *sum, now time.Time) []Envelope {
	if !w.asks || slices.Contains(e.hubs, w.from) {
		return out
	}
	d := region.digest(&w.Report, w.unheard)
	loaded := len(d.Servers) > 0
	if !loaded && !w.toldLoad && now.Sub(w.answered) < idleEvery {
		return out
	}
	w.answered, w.toldLoad = now, loaded
	return append(out, Envelope{[]netip.AddrPort{w.from}, e.message(RegionSum, d)})
}
