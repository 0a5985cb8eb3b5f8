// Package tokens estimates prompt sizes and hashes prompt prefixes, so that instances
// and engines identify cache blocks in the same way.
package tokens

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	// BlockTokens is how many prompt tokens one cache block covers.
	BlockTokens = 64
	// BlockBytes is how many bytes of a prompt one cache block covers.
	BlockBytes = BlockTokens * bytesPerToken
)

// Estimate returns an upper estimate of a prompt's tokens.
func Estimate(prompt string) int {
	return len(prompt)/bytesPerToken + 1
}

// Block is the hash of a prompt up to the end of one block.
type Block uint64

// String returns the form used in cache events.
func (b Block) String() string {
	return strconv.FormatUint(uint64(b), 16)
}

// ParseBlock is the inverse of String.
func ParseBlock(s string) (Block, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return Block(v), err
}

// AppendBlocks appends the hashes of the prompt's complete blocks to dst. Each hash
// also covers all blocks before it, so equal hashes mean equal prefixes.
func AppendBlocks(dst []Block, prompt string) []Block {
	var chain [8]byte
	var previous uint64
	for start := 0; start+BlockBytes <= len(prompt); start += BlockBytes {
		binary.LittleEndian.PutUint64(chain[:], previous)
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[start : start+BlockBytes])
		previous = digest.Sum64()
		dst = append(dst, Block(previous))
	}
	return dst
}
