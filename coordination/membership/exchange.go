package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/cespare/xxhash/v2"
)

// loadReportMaxAge is how long a member's own report on its domain's load is
// preferred to the report of another member of the domain.
const loadReportMaxAge = 2 * RoundInterval

const heartbeatBytes = 2 // per member in a view

// domainIndex holds the ids of a domain's members in order, and the hashes over them.
type domainIndex struct {
	ids                     []string
	rosterHash, versionHash uint64
}

// indexes returns every domain's index. The caller holds the lock for writing.
func (t *Table) indexes() map[string]*domainIndex {
	if t.index != nil {
		return t.index
	}
	t.index, t.fleetHash = make(map[string]*domainIndex), 0
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
		t.fleetHash ^= xxhash.Sum64String(domain) * (index.versionHash | 1)
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
	local := t.members[t.self].entry
	index := t.indexes()[domain]
	view := &peerpb.DomainView{
		Domain: domain, RosterHash: index.rosterHash, VersionHash: index.versionHash,
		ConfigRevision: local.GetConfigRevision(), Heartbeats: make([]byte, 0, heartbeatBytes*len(index.ids)),
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

// relayView returns the view of another domain for a peer in the local domain, a
// different one each time. In a large fleet it makes up for lost exchanges with other
// domains; in a small one it is not needed.
func (t *Table) relayView(peerDomain string) *peerpb.DomainView {
	localDomain := t.members[t.self].entry.GetDomain()
	if peerDomain != localDomain || len(t.members) <= maxFullMesh {
		return nil
	}
	domains := slices.Sorted(maps.Keys(t.indexes()))
	t.relayedViews++
	domain := domains[t.relayedViews%len(domains)]
	if domain == localDomain {
		return nil
	}
	return t.view(domain)
}

// applyView applies a domain's heartbeat counters and reports whether the sender has
// the same entries of the domain as this table.
func (t *Table) applyView(view *peerpb.DomainView, now time.Time) bool {
	index := t.indexes()[view.GetDomain()]
	if index == nil || index.rosterHash != view.GetRosterHash() || len(view.GetHeartbeats()) != heartbeatBytes*len(index.ids) {
		return false
	}
	lagging := make(map[uint32]int64, len(view.GetBehind()))
	for n, position := range view.GetBehind() {
		if n < len(view.GetBehindRevision()) {
			lagging[position] = view.GetBehindRevision()[n]
		}
	}
	for n, id := range index.ids {
		if id == t.self {
			continue
		}
		revision, ok := lagging[uint32(n)]
		if !ok {
			revision = view.GetConfigRevision()
		}
		r := t.members[id]
		low := binary.LittleEndian.Uint16(view.GetHeartbeats()[heartbeatBytes*n:])
		t.applyHeartbeat(r, extendCounter(r.heartbeat, low), r.entry.GetIncarnation(), revision, now)
	}
	return index.versionHash == view.GetVersionHash()
}

// extendCounter returns the counter nearest to the known one that ends in the given
// low bits. Half of their range is nine hours of rounds, and an instance that was
// silent for that long has been forgotten.
func extendCounter(known uint64, low uint16) uint64 {
	return known + uint64(int64(int16(low-uint16(known))))
}

// Request returns the first message of an exchange with a peer. To an unknown peer,
// nil, it carries the local entry; to a peer of another domain, or in a small fleet,
// the load of the local domain.
func (t *Table) Request(peer *peerpb.Member) *peerpb.ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.members[t.self]
	req := &peerpb.ExchangeRequest{From: t.self, View: t.view(local.entry.GetDomain()), FleetHash: t.fleetHash}
	if peer == nil {
		req.Members = []*peerpb.Member{t.wireEntry(local, local.lastContact)}
	}
	req.Loads = t.loadsFor(peer.GetDomain())
	req.OtherView = t.relayView(peer.GetDomain())
	return req
}

// loadsFor returns the load report to send to a peer of a domain. Peers of the local
// domain need none in a large fleet: every instance polls the same backend servers.
func (t *Table) loadsFor(domain string) []*peerpb.ServiceLoad {
	local := t.members[t.self].entry
	if domain == local.GetDomain() && len(t.members) > maxFullMesh {
		return nil
	}
	return local.GetLoads()
}

// ByPeerAddress returns the entry of the instance with a peer address, or nil.
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

// Respond answers the first message of an exchange that a peer began, or its follow-up.
func (t *Table) Respond(req *peerpb.ExchangeRequest, now time.Time) *peerpb.ExchangeResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range req.GetMembers() {
		t.merge(entry, now)
	}
	t.applyDigests(req.GetDigests(), now)
	resp := &peerpb.ExchangeResponse{From: t.self}
	if domains := req.GetDigestDomains(); len(domains) > 0 {
		resp.Members = t.missingEntries(req.GetDigests(), domains, now)
	}
	if req.GetView() == nil {
		return resp
	}
	same := t.applyView(req.GetView(), now)
	t.applyLoads(req.GetFrom(), req.GetLoads(), now)
	t.applyView(req.GetOtherView(), now)
	resp.View, resp.FleetHash = t.view(t.members[t.self].entry.GetDomain()), t.fleetHash
	resp.Loads = t.loadsFor(req.GetView().GetDomain())
	resp.OtherView = t.relayView(req.GetView().GetDomain())
	if !same {
		resp.Digests = t.digests([]string{req.GetView().GetDomain()})
	}
	if req.GetFleetHash() != t.fleetHash {
		resp.Domains = t.domainHashes()
	}
	return resp
}

// ApplyResponse applies the response to Request and returns the follow-up message
// that reconciles both tables, or nil when they agree.
func (t *Table) ApplyResponse(resp *peerpb.ExchangeResponse, now time.Time) *peerpb.ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range resp.GetMembers() {
		t.merge(entry, now)
	}
	if resp.GetView() == nil {
		return nil
	}
	localDomain := t.members[t.self].entry.GetDomain()
	differing := make(map[string]bool)
	if !t.applyView(resp.GetView(), now) {
		differing[resp.GetView().GetDomain()] = true
	}
	t.applyView(resp.GetOtherView(), now)
	t.applyLoads(resp.GetFrom(), resp.GetLoads(), now)
	next := &peerpb.ExchangeRequest{From: t.self}
	if len(resp.GetDigests()) > 0 || resp.GetDomains() != nil {
		t.applyDigests(resp.GetDigests(), now)
		next.Members = t.missingEntries(resp.GetDigests(), []string{localDomain}, now)
		if t.hasNewer(resp.GetDigests()) {
			differing[localDomain] = true
		}
	}
	for _, d := range resp.GetDomains() {
		if index := t.indexes()[d.GetDomain()]; t.reconciles(d.GetDomain(), resp.GetView().GetDomain()) && (index == nil || index.versionHash != d.GetVersionHash()) {
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

// reconciles reports whether the entries of a domain are compared with a peer of another one,
// beside those of the peer's own domain. In a large fleet peers of the local domain have them:
// each of these exchanges with that domain itself, and digests of all domains between
// all of them would grow with the square of the fleet.
func (t *Table) reconciles(domain, peerDomain string) bool {
	localDomain := t.members[t.self].entry.GetDomain()
	if domain == localDomain {
		return false
	}
	return peerDomain == localDomain || domain == peerDomain || len(t.members) <= maxFullMesh
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
			t.applyHeartbeat(r, d.GetHeartbeat(), d.GetIncarnation(), d.GetConfigRevision(), now)
		}
	}
}

// missingEntries returns the entries of the domains that the sender of the digests
// lacks, or has in an older version.
func (t *Table) missingEntries(digests []*peerpb.MemberDigest, domains []string, now time.Time) []*peerpb.Member {
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
				out = append(out, t.wireEntry(r, now))
			}
		}
	}
	return out
}

// hasNewer reports whether a digest is of an entry that this table lacks, or has in an
// older version.
func (t *Table) hasNewer(digests []*peerpb.MemberDigest) bool {
	for _, d := range digests {
		r, ok := t.members[d.GetId()]
		if !ok && t.isStaleGossip(d.GetId(), d.GetIncarnation(), d.GetHeartbeat()) {
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

// wireEntry returns a member's entry as it is sent to peers.
func (t *Table) wireEntry(r *record, now time.Time) *peerpb.Member {
	out := shallowCopy(r.entry)
	out.Loads = nil
	out.Heartbeat = r.heartbeat
	out.HeardAgoMs = max(0, now.Sub(r.lastContact).Milliseconds())
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

// applyLoads applies the load report of the sender's domain. It also replaces that of
// members of the domain whose own last report is older than loadReportMaxAge.
func (t *Table) applyLoads(from string, loads []*peerpb.ServiceLoad, now time.Time) {
	sender, ok := t.members[from]
	if !ok || from == t.self || len(loads) == 0 {
		return
	}
	sender.loadsReceivedAt = now
	for id, r := range t.members {
		if id == t.self || r.entry.GetDomain() != sender.entry.GetDomain() {
			continue
		}
		if r != sender && now.Sub(r.loadsReceivedAt) < loadReportMaxAge {
			continue
		}
		r.loads = loads
	}
}
