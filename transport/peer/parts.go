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
	// ChunkBytes is the size of the chunks of an update, one in each message. Ten streams that
	// share a link of 10 Mbit/s get a chunk every 130 ms each, which shows the receivers that
	// their senders are alive.
	ChunkBytes = 16 << 10
	// maxUpdateBytes bounds an update, compressed and uncompressed. It suffices for a store prefix
	// with a hundred thousand entries.
	maxUpdateBytes = 32 << 20
)

var errUpdateTooLarge = errors.New("update exceeds 32 MiB")

// PackUpdate serializes and deflates an update. Routes of a configuration differ little, so
// they compress well.
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

// SendChunks sends a packed update in chunks.
func SendChunks(packed []byte, send func(*peerpb.FollowUpdate) error) error {
	for {
		chunk := packed[:min(len(packed), ChunkBytes)]
		packed = packed[len(chunk):]
		if err := send(&peerpb.FollowUpdate{Part: chunk, Last: len(packed) == 0}); err != nil {
			return err
		}
		if len(packed) == 0 {
			return nil
		}
	}
}

// Assembler reassembles updates from their chunks.
type Assembler struct{ packed []byte }

// Incomplete reports whether chunks of an update are still missing.
func (a *Assembler) Incomplete() bool { return len(a.packed) > 0 }

// Add adds a message and returns the update that it completes, or nil. A message without a
// chunk is returned as it is.
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
