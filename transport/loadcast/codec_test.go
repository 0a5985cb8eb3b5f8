package loadcast

import (
	"reflect"
	"testing"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/placement"
)

// Guards against a message that arrives as another one.
func TestMessagesSurviveTheWire(t *testing.T) {
	for _, kind := range []loadhub.Kind{loadhub.Direct, loadhub.Word, loadhub.Region, loadhub.DomainSum} {
		sent := loadhub.Message{Kind: kind, From: "i0", Domain: "east-a", Digest: placement.Digest{
			Servers:    []placement.ServerLoad{{Server: 1, Pending: 2, Urgent: 3, InFlight: 4, Served: 5, Failed: 6, Down: true}},
			Dispatches: []placement.Dispatch{{Server: 7, Parts: []placement.Part{{ID: 8, Tokens: 9}}}},
		}}
		if got := decode(encode(&sent)); !reflect.DeepEqual(got, sent) {
			t.Errorf("sent %+v, got %+v", sent, got)
		}
	}
}
