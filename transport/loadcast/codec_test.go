package loadcast

import (
	"reflect"
	"testing"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/placement"
)

// Guards against a message that is decoded as a different one.
func TestMessageRoundTrip(t *testing.T) {
	for _, kind := range []loadhub.Kind{loadhub.Direct, loadhub.HubReport, loadhub.RegionSum, loadhub.DomainSum} {
		sent := loadhub.Message{Kind: kind, From: "i0", Domain: "east-a", Report: placement.LoadReport{
			Servers:    []placement.ServerLoad{{Server: 1, PendingTokens: 2, UrgentTokens: 3, InFlight: 4, Served: 5, Failed: 6, Down: true, UrgentInFlight: 2}},
			Dispatches: []placement.Dispatch{{Server: 7, Segments: []placement.PromptSegment{{ID: 8, Tokens: 9}}}},
		}}
		if got := decode(encode(&sent)); !reflect.DeepEqual(got, sent) {
			t.Errorf("sent %+v, got %+v", sent, got)
		}
	}
}
