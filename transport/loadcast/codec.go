package loadcast

import (
	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

var kindToProto = map[loadhub.Kind]peerpb.LoadCastKind{
	loadhub.Direct:    peerpb.LoadCastKind_LOAD_CAST_KIND_DIRECT,
	loadhub.HubReport: peerpb.LoadCastKind_LOAD_CAST_KIND_WORD,
	loadhub.RegionSum: peerpb.LoadCastKind_LOAD_CAST_KIND_REGION,
	loadhub.DomainSum: peerpb.LoadCastKind_LOAD_CAST_KIND_DOMAIN_SUM,
}

var kindFromProto = func() map[peerpb.LoadCastKind]loadhub.Kind {
	out := make(map[peerpb.LoadCastKind]loadhub.Kind, len(kindToProto))
	for kind, protoKind := range kindToProto {
		out[protoKind] = kind
	}
	return out
}()

func encode(m *loadhub.Message) *peerpb.LoadCast {
	out := &peerpb.LoadCast{
		From: m.From, Kind: kindToProto[m.Kind], Domain: m.Domain,
		Partial: m.Report.Partial, AcceptsPartial: m.AcceptsPartial, NoReply: m.NoReply, Number: m.Number,
	}
	for _, s := range m.Report.Servers {
		out.Servers = append(out.Servers, &peerpb.ServerLoadCast{
			Server: s.Server, Pending: uint32(s.PendingTokens), Urgent: uint32(s.UrgentTokens), InFlight: uint32(s.InFlight),
			Served: uint32(s.Served), Failed: uint32(s.Failed), Down: s.Down, UrgentInFlight: uint32(s.UrgentInFlight), TimePercent: uint32(s.TimePercent),
		})
	}
	for _, sent := range m.Report.Dispatches {
		cast := &peerpb.DispatchCast{Server: sent.Server}
		for _, part := range sent.Segments {
			cast.Parts = append(cast.Parts, part.ID)
			cast.Tokens = append(cast.Tokens, uint32(part.Tokens))
		}
		out.Dispatches = append(out.Dispatches, cast)
	}
	return out
}

func decode(m *peerpb.LoadCast) loadhub.Message {
	out := loadhub.Message{
		Kind: kindFromProto[m.GetKind()], From: m.GetFrom(), Domain: m.GetDomain(),
		AcceptsPartial: m.GetAcceptsPartial(), NoReply: m.GetNoReply(), Number: m.GetNumber(),
	}
	d := &out.Report
	d.Partial = m.GetPartial()
	for _, s := range m.GetServers() {
		d.Servers = append(d.Servers, placement.ServerLoad{
			Server: s.GetServer(), PendingTokens: int(s.GetPending()), UrgentTokens: int(s.GetUrgent()), InFlight: int(s.GetInFlight()),
			Served: int(s.GetServed()), Failed: int(s.GetFailed()), Down: s.GetDown(), UrgentInFlight: int(s.GetUrgentInFlight()), TimePercent: int(s.GetTimePercent()),
		})
	}
	for _, sent := range m.GetDispatches() {
		dispatch := placement.Dispatch{Server: sent.GetServer()}
		for i, id := range sent.GetParts() {
			if i < len(sent.GetTokens()) {
				dispatch.Segments = append(dispatch.Segments, placement.PromptSegment{ID: id, Tokens: int(sent.GetTokens()[i])})
			}
		}
		d.Dispatches = append(d.Dispatches, dispatch)
	}
	return out
}
