package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	// ChunkBytes is how much of an update goes in one message: of ten that share a link of
	// 10 Mbit/s each gets one in 130 ms, and sees that its sender lives.
	ChunkBytes = 16 << 10
	// maxUpdateBytes bounds an update, packed and unpacked: a prefix of the store with a
	// hundred thousand entries.
	maxUpdateBytes = 32 << 20
)

var errUpdateTooLarge = errors.New("update is too large")

// PackUpdate serializes an update and deflates it: routes of a configuration differ in little,
// and most of their bytes go.
func PackUpdate(update *peerpb.FollowUpdate) ([]byte, error) {
	plain, err := proto.Marshal(update)
	if err != nil {
		return nil, errors.Wrap(err, "update")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "update")
	}
	_, err = w.Write(plain)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return nil, errors.Wrap(err, "update")
	}
	return packed.Bytes(), nil
}

// SendChunks sends a packed update.
func SendChunks(packed []byte, send func(*peerpb.FollowUpdate) error) error {
	for {
		part := packed[:min(len(packed), ChunkBytes)]
		packed = packed[len(part):]
		if err := send(&peerpb.FollowUpdate{Part: part, Last: len(packed) == 0}); err != nil {
			return err
		}
		if len(packed) == 0 {
			return nil
		}
	}
}

// Assembler puts the parts of updates together.
type Assembler struct{ packed []byte }

// Incomplete tells whether parts of an update are still to come.
func (a *Assembler) Incomplete() bool { return len(a.packed) > 0 }

// Add takes in a message and returns the update that is complete with it, or nil.
func (a *Assembler) Add(message *peerpb.FollowUpdate) (*peerpb.FollowUpdate, error) {
	if len(message.GetPart()) == 0 {
		return message, nil
	}
	if len(a.packed)+len(message.GetPart()) > maxUpdateBytes {
		return nil, errUpdateTooLarge
	}
	a.packed = append(a.packed, message.GetPart()...)
	if !message.GetLast() {
		return nil, nil
	}
	packed := a.packed
	a.packed = nil
	return unpackUpdate(packed)
}

func unpackUpdate(packed []byte) (*peerpb.FollowUpdate, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUpdateBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "update")
	}
	if len(plain) > maxUpdateBytes {
		return nil, errUpdateTooLarge
	}
	var update peerpb.FollowUpdate
	return &update, errors.Wrap(proto.Unmarshal(plain, &update), "update")
}
