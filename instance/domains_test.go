package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// Guards against a stream that is given up because the only peer that can resume it has come
// back at another address.
func TestRestartedPeerIsFoundAtItsNewAddress(t *testing.T) {
	i := newTestInstance(t)
	peer := &peerpb.Member{
		Id: "b", Incarnation: 1, Version: 1, State: peerpb.MemberState_MEMBER_STATE_LIVE,
		Region: "north", Domain: "north-2", PeerAddress: "192.0.2.1:7000",
	}
	i.members.Merge([]*peerpb.Member{peer}, time.Now())
	restarted := &peerpb.Member{
		Id: "b", Incarnation: 2, Version: 1, State: peerpb.MemberState_MEMBER_STATE_LIVE,
		Region: "north", Domain: "north-2", PeerAddress: "192.0.2.2:7000",
	}
	i.members.Merge([]*peerpb.Member{restarted}, time.Now())
	if got := i.peersInDomain("north-2", "192.0.2.1:7000"); !slices.Equal(got, []string{"192.0.2.2:7000"}) {
		t.Errorf("peers %v", got)
	}
}
