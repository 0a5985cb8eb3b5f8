package peer

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

func randomBytes(size int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

func update(value []byte) *peerpb.FollowUpdate {
	return &peerpb.FollowUpdate{Views: []*peerpb.StoreView{{
		Prefix: "config/", Revision: 9, After: 3, Items: []*peerpb.Document{{Key: "config/a", Revision: 9, Value: value}},
	}}}
}

// An update must equal the original after reassembly, and messages without a chunk must pass
// between updates.
func TestUpdateInParts(t *testing.T) {
	var a Assembler
	for _, value := range [][]byte{nil, randomBytes(10), randomBytes(ChunkBytes), randomBytes(3*ChunkBytes + 1), bytes.Repeat([]byte("route"), 50_000)} {
		want, messages := update(value), 0
		packed, err := PackUpdate(want)
		if err != nil {
			t.Fatal(err)
		}
		var got *peerpb.FollowUpdate
		err = SendChunks(packed, func(m *peerpb.FollowUpdate) (err error) {
			if messages++; got != nil {
				t.Error("complete before its last chunk")
			}
			got, err = a.Add(m)
			return err
		})
		if err != nil || !proto.Equal(got, want) || a.Incomplete() {
			t.Errorf("%d bytes in %d chunks: %v", len(value), messages, err)
		}
		if heartbeat, err := a.Add(&peerpb.FollowUpdate{}); err != nil || heartbeat == nil {
			t.Errorf("heartbeat: %v, %v", heartbeat, err)
		}
	}
}

// Guards against a peer whose small message decompresses to more memory than the instance has.
func TestOversizedUpdateIsRejected(t *testing.T) {
	packed, err := PackUpdate(update(make([]byte, maxUpdateBytes+1)))
	if err != nil {
		t.Fatal(err)
	}
	var a Assembler
	err = SendChunks(packed, func(m *peerpb.FollowUpdate) error {
		_, err := a.Add(m)
		return err
	})
	if err == nil {
		t.Error("an oversized update was accepted")
	}
}
