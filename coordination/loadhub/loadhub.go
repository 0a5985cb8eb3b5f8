// Package loadhub decides to whom an instance reports its load, several times a second, and
// which of the reports that it receives it applies.
//
// # Workload
//
// The instances of a region send to the same servers. Where each reports to all others, the
// messages grow with the square of the region's instances, and with some sixty of them cost
// more than serving callers does. So in a large region an instance reports to the hubs of its
// failure domain: two instances on which all agree. One of them replies with the sum of the load
// of all others, and the hubs of a region's domains send each other the sums of their domains.
// An instance whose hubs are unresponsive reports to those of the other domains, and if these
// are unresponsive, too, to all others, as in a small region.
//
// Between two reports a region in a traffic spike places more than one request at each server,
// and an instance that does not know of these places its own on top. So an instance that has
// placed a request reports within RelayInterval, and hubs forward that within as long. What
// requests have finished can wait for the next ReportInterval.
//
// A large region has a thousand servers, of which one in ten changes its load between two
// messages. After the first one a hub therefore sends only the servers that changed, see
// loadSum.
//
// The package does no I/O: messages and the time are passed to each call, and outgoing
// messages are returned.
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
	// ReportInterval is the time between messages while requests are in flight: shorter than it
	// takes an engine to prefill one prompt of ordinary size.
	ReportInterval = reportTicks * RelayInterval
	// RelayInterval is the time between calls of Round or Relay.
	RelayInterval = 20 * time.Millisecond
	reportTicks   = 3 // calls of Round or Relay in a ReportInterval

	// maxDirectPeers is the largest number of other instances to which an instance reports directly.
	maxDirectPeers = 16
	hubsPerDomain  = 2 // so that one may be lost
	// idleReportInterval is how often an instance without load reports to its hubs, so that it
	// knows the load of the others when its next request arrives.
	idleReportInterval = 200 * time.Millisecond
	// reportTTL is how long an instance's last report counts at a hub.
	reportTTL = 400 * time.Millisecond
	// hubTimeout is how long the active hub may be unresponsive before another one replaces it:
	// a few of its messages may be lost.
	hubTimeout = 150 * time.Millisecond
	// partialTimeout is how long after the last sum a partial one can change it: it is less than
	// the time for which placement uses a sum.
	partialTimeout = 300 * time.Millisecond
	// allHubsTimeout is how long all hubs may be unresponsive before the fallback is used.
	allHubsTimeout = 400 * time.Millisecond
)

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	Direct    Kind = iota // the sender's own load, to every other instance of the region
	HubReport             // the sender's own load, to a hub that is to reply
	RegionSum             // the load of all others of the region, from a hub
	DomainSum             // the load of the sender's failure domain, between hubs
)

// Message is a load report between two instances.
type Message struct {
	Kind   Kind
	From   string
	Domain string // of the sender
	Report placement.LoadReport

	// Of a HubReport only.
	NoReply        bool // the hub only records the report
	AcceptsPartial bool // the sender merges a reply that holds only what changed

	// Number counts the messages with sums that a hub sent to one instance. The instance sees
	// from it that it has lost one.
	Number uint32
}

// Envelope is a message with its recipients.
type Envelope struct {
	To []netip.AddrPort
	Message
}

// Update is a load report to apply. It replaces the last one of the same source, or
// changes it if it is partial.
type Update struct {
	Source string
	Report placement.LoadReport
}

// regionSource is the source of the sums over all others of the region.
const regionSource = "region"

// Peer is another instance of the region.
type Peer struct {
	ID, Domain string
	Address    netip.AddrPort
	LinkMbps   int // of its machine; 0 when not known
}

// Exchange is the state of one instance in the exchange of load reports. It is not safe for
// concurrent use.
type Exchange struct {
	self   Peer
	known  []Peer           // peers of the region, without this instance
	peers  []netip.AddrPort // their addresses
	hubs   []Peer           // hubs of the local domain, without this instance
	others []netip.AddrPort // hubs of the region's other domains
	isHub  bool             // this instance is a hub of its domain

	reportedAt      time.Time // when it last reported to its hubs
	wasBusy         bool
	askingSince     time.Time    // since when it reports to hubs; zero before
	unansweredSince time.Time    // time of the first report to hubs since the last reply; zero if there is none
	localHubContact time.Time    // last contact from a hub of the local domain
	activeHub       activeSender // the hub whose sums are applied
	lastNumber      uint32       // of the last sum that was applied
	needsFullSum    bool         // a sum was lost, so that a partial one cannot be applied

	tick int // number of calls of Round and Relay

	// The rest is the state of a hub.
	reports map[string]*memberReport
	sums    map[string]*domainSum
	region  loadSum // the load of all instances of the region
	domain  loadSum // the load of the instances of the local domain
	// informedHubs are the hubs of other domains that were sent the full sum of the domain.
	informedHubs map[netip.AddrPort]bool
}

// activeSender is the one sender whose messages are applied among several that send the same.
type activeSender struct {
	id          string
	lastContact time.Time
}

// accepts reports whether a message of a sender is to be applied, and makes that sender the
// active one. Two hubs send the same: counted twice, their servers would look full.
func (s *activeSender) accepts(id string, now time.Time) bool {
	if s.id != id && now.Sub(s.lastContact) < hubTimeout {
		return false
	}
	s.id, s.lastContact = id, now
	return true
}

// memberReport is the last report of an instance.
type memberReport struct {
	Message
	receivedAt time.Time
	// outcomesUnsent says that its outcomes are part of the sums.
	outcomesUnsent bool

	replyWanted bool // the instance expects the sum in reply
	address     netip.AddrPort
	replyDue    bool   // it has reported since the last reply
	replies     uint32 // messages with sums sent to it
}

// domainSum is the load of another domain, as its active hub reports it.
type domainSum struct {
	activeSender
	loads map[uint32]placement.ServerLoad
}

// New returns the exchange of an instance that knows no others.
func New(id, domain string, link int) *Exchange {
	return &Exchange{
		self: Peer{ID: id, Domain: domain, LinkMbps: link}, reports: make(map[string]*memberReport), sums: make(map[string]*domainSum),
		region: newLoadSum(false), domain: newLoadSum(true), informedHubs: make(map[netip.AddrPort]bool),
	}
}

// SetPeers replaces the list of the other live instances of the region.
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
				e.hubs = append(e.hubs, hub)
			default:
				e.others = append(e.others, hub.Address)
			}
		}
	}
}

// hubsOf returns the hubs of a failure domain: the members with the fastest links, then by hash.
func hubsOf(members []Peer) []Peer {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hubScore(b.ID), hubScore(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked[:min(len(ranked), hubsPerDomain)]
}

func hubScore(id string) uint64 { return xxhash.Sum64String("load hub\x00" + id) }

// ReportDue reports whether this instance should report now, and Round is to be called; Relay
// otherwise. placed says whether it has placed requests since its last report. Calls are
// RelayInterval apart.
func (e *Exchange) ReportDue(placed bool) bool {
	return e.tick%reportTicks == 0 || placed && e.usesHubs()
}

// Relay returns what a hub has to forward between two reports of its own.
func (e *Exchange) Relay(now time.Time) (out []Envelope, updates []Update) {
	defer func() { e.tick++ }()
	if !e.usesHubs() || len(e.reports) == 0 && !e.isHub {
		return nil, nil
	}
	return e.runHub(nil, now)
}

// Round returns the messages to send now and the updates to apply. localReport is the load of
// this instance.
func (e *Exchange) Round(localReport placement.LoadReport, now time.Time) (out []Envelope, updates []Update) {
	defer func() { e.tick++ }()
	busy := len(localReport.Servers) > 0 || len(localReport.Dispatches) > 0
	reportDue := busy || e.wasBusy // the last report says that no load is left
	e.wasBusy = busy
	if !e.usesHubs() {
		return e.send(out, Direct, e.peers, localReport, reportDue), nil
	}
	e.dropExpired(now)
	if e.askingSince.IsZero() {
		e.askingSince = now
	}
	if reportDue || now.Sub(e.reportedAt) >= idleReportInterval {
		e.reportedAt = now
		out = e.reportToHubs(out, localReport, now)
	}
	out = e.send(out, Direct, e.peers, localReport, reportDue && e.hubsUnresponsive(e.activeHub.lastContact, e.directTimeout(), now))
	if len(e.reports) == 0 && !e.isHub {
		return out, nil
	}
	e.recordReport(e.message(HubReport, localReport), now)
	return e.runHub(out, now)
}

// reportToHubs reports to the hubs of the local domain, and to those of the others if the
// former are unresponsive. Only the active hub is asked to reply while it does.
func (e *Exchange) reportToHubs(out []Envelope, localReport placement.LoadReport, now time.Time) []Envelope {
	if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
	m := e.message(HubReport, localReport)
	m.AcceptsPartial = !e.needsFullSum && now.Sub(e.activeHub.lastContact) < partialTimeout
	for _, hub := range e.hubs {
		m.NoReply = e.isHub || now.Sub(e.unansweredSince) < hubTimeout && hub.ID != e.askedHub()
		out = append(out, Envelope{[]netip.AddrPort{hub.Address}, m})
	}
	if !e.hubsUnresponsive(e.localHubContact, allHubsTimeout, now) || len(e.others) == 0 {
		return out
	}
	m.NoReply = false
	return append(out, Envelope{e.others, m})
}

// askedHub returns the id of the hub that is asked to reply: the active one, and before there
// is any, one by hash, so that the hubs of a domain share the work.
func (e *Exchange) askedHub() string {
	var best string
	var top uint64
	for _, hub := range e.hubs {
		if hub.ID == e.activeHub.id {
			return hub.ID
		}
		if score := hubScore(hub.ID + "\x00" + e.self.ID); best == "" || score > top {
			best, top = hub.ID, score
		}
	}
	return best
}

// hubsUnresponsive reports whether the hubs have been unresponsive for the limit since a time,
// although this instance reported to them for as long.
func (e *Exchange) hubsUnresponsive(since time.Time, limit time.Duration, now time.Time) bool {
	return !e.isHub && now.Sub(since) >= limit && now.Sub(e.askingSince) >= limit
}

// directTimeout is how long all hubs may be unresponsive before this instance reports to every
// other one: the hubs of other domains are tried first.
func (e *Exchange) directTimeout() time.Duration {
	if len(e.others) == 0 {
		return allHubsTimeout
	}
	return 2 * allHubsTimeout
}

// usesHubs reports whether the region is too large for reports to all others.
func (e *Exchange) usesHubs() bool { return len(e.peers) > maxDirectPeers }

func (e *Exchange) send(out []Envelope, kind Kind, to []netip.AddrPort, report placement.LoadReport, due bool) []Envelope {
	if !due || len(to) == 0 {
		return out
	}
	return append(out, Envelope{to, e.message(kind, report)})
}

func (e *Exchange) message(kind Kind, report placement.LoadReport) Message {
	return Message{Kind: kind, From: e.self.ID, Domain: e.self.Domain, Report: report}
}

// Receive processes a message, and returns the update to apply at once, if any.
func (e *Exchange) Receive(m Message, from netip.AddrPort, now time.Time) (Update, bool) {
	switch m.Kind {
	case RegionSum:
		if e.isHub || !e.acceptsSum(&m, now) {
			return Update{}, false
		}
		e.unansweredSince = time.Time{}
		e.needsFullSum = m.Report.Partial && (e.needsFullSum || m.Number != e.lastNumber+1)
		e.lastNumber = m.Number
		return Update{regionSource, m.Report}, true
	case HubReport:
		e.recordHubReport(m, from, now)
		return Update{}, false
	case DomainSum:
		e.recordSum(m, now)
		return Update{}, false
	}
	switch {
	case e.usesHubs() && e.isHub:
		e.recordReport(m, now)
		return Update{}, false
	case now.Sub(e.activeHub.lastContact) < allHubsTimeout:
		return Update{}, false // it is contained in the hub's sum
	}
	return Update{m.From, m.Report}, true
}

// acceptsSum reports whether the sum of a hub is to be applied. A hub of the local domain takes
// precedence over others.
func (e *Exchange) acceptsSum(m *Message, now time.Time) bool {
	if m.Domain != e.self.Domain {
		return e.activeHub.accepts(m.From, now)
	}
	if now.Sub(e.localHubContact) >= hubTimeout {
		e.activeHub = activeSender{}
	}
	e.localHubContact = now
	return e.activeHub.accepts(m.From, now)
}
