package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/cespare/xxhash/v2"
)

// loadFresh is how long a member's own word on its domain's load is preferred to
// that of another member.
const loadFresh = 2 * RoundInterval

const heartbeatBytes = 2 // of each member in a view

// domainIndex is the order of a domain's members and the hashes over it.
type domainIndex struct {
	ids                     []string
	rosterHash, versionHash uint64
}

// indexes returns every domain's index. The caller holds the lock for writing.
func (t *Table) indexes() map[string]*domainIndex {
	if t.index != nil {
		return t.index
	}
	t.index, t.hash = make(map[string]*domainIndex), 0
	for id, r := range t.members {
		domain := r.entry.GetDomain()
		if t.index[domain] == nil {
			t.index[domain] = &domainIndex{}
		}
		t.index[domain].ids = append(t.index[domain].ids, id)
	}
	for domain, index := range t.index {
		slices.Sort(index.ids)
		index.rosterHash, index.versionHash = t.hashes(index.ids)
		t.hash ^= xxhash.Sum64String(domain) * (index.versionHash | 1)
	}
	return t.index
}

func (t *Table) hashes(ids []string) (roster, version uint64) {
	var rosters, versions xxhash.Digest
	rosters.Reset()
	versions.Reset()
	for _, id := range ids {
		entry := t.members[id].entry
		_, _ = rosters.WriteString(id) // writing to a hash does not fail
		_, _ = rosters.Write(binary.LittleEndian.AppendUint64(nil, entry.GetIncarnation()))
		_, _ = versions.Write(binary.LittleEndian.AppendUint64(nil, entry.GetVersion()))
	}
	_, _ = versions.Write(binary.LittleEndian.AppendUint64(nil, rosters.Sum64()))
	return rosters.Sum64(), versions.Sum64()
}

func (t *Table) view(domain string) *peerpb.DomainView {
	own := t.members[t.self].entry
	index := t.indexes()[domain]
	view := &peerpb.DomainView{
		Domain: domain, RosterHash: index.rosterHash, VersionHash: index.versionHash,
		ConfigRevision: own.GetConfigRevision(), Heartbeats: make([]byte, 0, heartbeatBytes*len(index.ids)),
	}
	for n, id := range index.ids {
		r := t.members[id]
		view.Heartbeats = binary.LittleEndian.AppendUint16(view.Heartbeats, uint16(r.heartbeat))
		if revision := r.entry.GetConfigRevision(); revision != view.ConfigRevision {
			view.Behind = append(view.Behind, uint32(n))
			view.BehindRevision = append(view.BehindRevision, revision)
		}
	}
	return view
}

// otherView returns the view of another domain for a member of the own one, a
// different one each time. In a large fleet it makes up for exchanges with other
// domains that are lost; in a small one there is no need.
func (t *Table) otherView(peerDomain string) *peerpb.DomainView {
	own := t.members[t.self].entry.GetDomain()
	if peerDomain != own || len(t.members) <= fullFanout {
		return nil
	}
	domains := slices.Sorted(maps.Keys(t.indexes()))
	t.relayed++
	domain := domains[t.relayed%len(domains)]
	if domain == own {
		return nil
	}
	return t.view(domain)
}

// applyView takes in a domain's counters and tells whether its entries are the
// same here.
func (t *Table) applyView(view *peerpb.DomainView, now time.Time) bool {
	index := t.indexes()[view.GetDomain()]
	if index == nil || index.rosterHash != view.GetRosterHash() || len(view.GetHeartbeats()) != heartbeatBytes*len(index.ids) {
		return false
	}
	behind := make(map[uint32]int64, len(view.GetBehind()))
	for n, position := range view.GetBehind() {
		if n < len(view.GetBehindRevision()) {
			behind[position] = view.GetBehindRevision()[n]
		}
	}
	for n, id := range index.ids {
		if id == t.self {
			continue
		}
		revision, ok := behind[uint32(n)]
		if !ok {
			revision = view.GetConfigRevision()
		}
		r := t.members[id]
		low := binary.LittleEndian.Uint16(view.GetHeartbeats()[heartbeatBytes*n:])
		t.hear(r, extend(r.heartbeat, low), r.entry.GetIncarnation(), revision, now)
	}
	return index.versionHash == view.GetVersionHash()
}

// extend returns the counter nearest to the known one that ends in the given
// bits. Half of the range is nine hours of rounds, and an instance that is
// silent for so long has been forgotten.
func extend(known uint64, low uint16) uint64 {
	return known + uint64(int64(int16(low-uint16(known))))
}

// Request returns what an exchange with a peer begins with. To one that is not
// known, nil, it carries the own entry; to one of another domain, or in a small
// fleet, the load of the own domain.
func (t *Table) Request(peer *peerpb.Member) *peerpb.ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.members[t.self]
	req := &peerpb.ExchangeRequest{From: t.self, View: t.view(own.entry.GetDomain()), FleetHash: t.hash}
	if peer == nil {
		req.Members = []*peerpb.Member{t.outgoing(own, own.heard)}
	}
	req.Loads = t.loadsFor(peer.GetDomain())
	req.OtherView = t.otherView(peer.GetDomain())
	return req
}

// loadsFor returns the load to tell a peer of a domain. In the own domain it is
// known: every instance polls the same backend servers.
func (t *Table) loadsFor(domain string) []*peerpb.ServiceLoad {
	own := t.members[t.self].entry
	if domain == own.GetDomain() && len(t.members) > fullFanout {
		return nil
	}
	return own.GetLoads()
}

// ByPeerAddress returns the entry of the instance with a peer address, nil when there is none.
func (t *Table) ByPeerAddress(address string) *peerpb.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, r := range t.members {
		if id != t.self && r.entry.GetPeerAddress() == address {
			return r.entry
		}
	}
	return nil
}

// Respond answers an exchange that a peer began, or its follow-up.
func (t *Table) Respond(req *peerpb.ExchangeRequest, now time.Time) *peerpb.ExchangeResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range req.GetMembers() {
		t.merge(entry, now)
	}
	t.applyDigests(req.GetDigests(), now)
	resp := &peerpb.ExchangeResponse{From: t.self}
	if domains := req.GetDigestDomains(); len(domains) > 0 {
		resp.Members = t.lacking(req.GetDigests(), domains, now)
	}
	if req.GetView() == nil {
		return resp
	}
	same := t.applyView(req.GetView(), now)
	t.hearLoads(req.GetFrom(), req.GetLoads(), now)
	t.applyView(req.GetOtherView(), now)
	resp.View, resp.FleetHash = t.view(t.members[t.self].entry.GetDomain()), t.hash
	resp.Loads = t.loadsFor(req.GetView().GetDomain())
	resp.OtherView = t.otherView(req.GetView().GetDomain())
	if !same {
		resp.Digests = t.digests([]string{req.GetView().GetDomain()})
	}
	if req.GetFleetHash() != t.hash {
		resp.Domains = t.domainHashes()
	}
	return resp
}

// ApplyResponse takes in the answer to Request and returns the follow-up that brings
// both sides together, nil when they agree.
func (t *Table) ApplyResponse(resp *peerpb.ExchangeResponse, now time.Time) *peerpb.ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range resp.GetMembers() {
		t.merge(entry, now)
	}
	if resp.GetView() == nil {
		return nil
	}
	own := t.members[t.self].entry.GetDomain()
	differing := make(map[string]bool)
	if !t.applyView(resp.GetView(), now) {
		differing[resp.GetView().GetDomain()] = true
	}
	t.applyView(resp.GetOtherView(), now)
	t.hearLoads(resp.GetFrom(), resp.GetLoads(), now)
	next := &peerpb.ExchangeRequest{From: t.self}
	if len(resp.GetDigests()) > 0 || resp.GetDomains() != nil {
		t.applyDigests(resp.GetDigests(), now)
		next.Members = t.lacking(resp.GetDigests(), []string{own}, now)
		if t.behind(resp.GetDigests()) {
			differing[own] = true
		}
	}
	for _, d := range resp.GetDomains() {
		if index := t.indexes()[d.GetDomain()]; d.GetDomain() != own && (index == nil || index.versionHash != d.GetVersionHash()) {
			differing[d.GetDomain()] = true
		}
	}
	for domain := range differing {
		next.DigestDomains = append(next.DigestDomains, domain)
	}
	slices.Sort(next.DigestDomains)
	next.Digests = t.digests(next.DigestDomains)
	if len(next.Members) == 0 && len(next.DigestDomains) == 0 {
		return nil
	}
	return next
}

func (t *Table) digests(domains []string) []*peerpb.MemberDigest {
	var out []*peerpb.MemberDigest
	for _, domain := range domains {
		index := t.indexes()[domain]
		if index == nil {
			continue
		}
		for _, id := range index.ids {
			r := t.members[id]
			out = append(out, &peerpb.MemberDigest{
				Id: id, Incarnation: r.entry.GetIncarnation(), Version: r.entry.GetVersion(),
				Heartbeat: r.heartbeat, ConfigRevision: r.entry.GetConfigRevision(),
			})
		}
	}
	return out
}

func (t *Table) applyDigests(digests []*peerpb.MemberDigest, now time.Time) {
	for _, d := range digests {
		if r, ok := t.members[d.GetId()]; ok && d.GetId() != t.self {
			t.hear(r, d.GetHeartbeat(), d.GetIncarnation(), d.GetConfigRevision(), now)
		}
	}
}

// lacking returns the entries of some domains that the sender of the digests has
// not, or not as new.
func (t *Table) lacking(digests []*peerpb.MemberDigest, domains []string, now time.Time) []*peerpb.Member {
	known := make(map[string]*peerpb.MemberDigest, len(digests))
	for _, d := range digests {
		known[d.GetId()] = d
	}
	var out []*peerpb.Member
	for _, domain := range domains {
		index := t.indexes()[domain]
		if index == nil {
			continue
		}
		for _, id := range index.ids {
			r, d := t.members[id], known[id]
			if d == nil || newer(r.entry.GetIncarnation(), r.entry.GetVersion(), d.GetIncarnation(), d.GetVersion()) {
				out = append(out, t.outgoing(r, now))
			}
		}
	}
	return out
}

// behind tells whether some digest is of an entry that is not known here.
func (t *Table) behind(digests []*peerpb.MemberDigest) bool {
	for _, d := range digests {
		r, ok := t.members[d.GetId()]
		if !ok && t.rumour(d.GetId(), d.GetIncarnation(), d.GetHeartbeat()) {
			continue
		}
		if !ok || newer(d.GetIncarnation(), d.GetVersion(), r.entry.GetIncarnation(), r.entry.GetVersion()) {
			return true
		}
	}
	return false
}

func newer(incarnation, version, thanIncarnation, thanVersion uint64) bool {
	if incarnation != thanIncarnation {
		return incarnation > thanIncarnation
	}
	return version > thanVersion
}

// outgoing is a member's entry as it travels.
func (t *Table) outgoing(r *record, now time.Time) *peerpb.Member {
	out := shallow(r.entry)
	out.Loads = nil
	out.Heartbeat = r.heartbeat
	out.HeardAgoMs = max(0, now.Sub(r.heard).Milliseconds())
	return out
}

func (t *Table) domainHashes() []*peerpb.DomainHash {
	var out []*peerpb.DomainHash
	for domain, index := range t.indexes() {
		out = append(out, &peerpb.DomainHash{Domain: domain, VersionHash: index.versionHash})
	}
	slices.SortFunc(out, func(a, b *peerpb.DomainHash) int {
		if a.GetDomain() < b.GetDomain() {
			return -1
		}
		return 1
	})
	return out
}

// hearLoads takes in the load of the sender's domain. Members of the domain that
// did not speak for themselves lately get the same.
func (t *Table) hearLoads(from string, loads []*peerpb.ServiceLoad, now time.Time) {
	sender, ok := t.members[from]
	if !ok || from == t.self || len(loads) == 0 {
		return
	}
	sender.loadsHeard = now
	for id, r := range t.members {
		if id == t.self || r.entry.GetDomain() != sender.entry.GetDomain() {
			continue
		}
		if r != sender && now.Sub(r.loadsHeard) < loadFresh {
			continue
		}
		r.loads = loads
	}
}
