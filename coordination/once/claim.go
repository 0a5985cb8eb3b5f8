package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/refusal"
)

// Claim is the record that is stored under an idempotency key.
type Claim struct {
	Hash      string `json:"hash"`  // of the caller's request
	Nonce     string `json:"nonce"` // of one claim attempt
	Instance  string `json:"instance"`
	RequestID string `json:"request_id"`
	AtUnixMs  int64  `json:"at_unix_ms"`
}

// Hash returns the hash of a request. The length of each part is hashed too, so that
// no two requests share the hashed bytes.
func Hash(service, operation string, body []byte) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(operation), body} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		sum.Write(size[:])
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// Encode returns the stored form of the claim.
func (c *Claim) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a struct of strings and integers always has an encoding
	}
	return data
}

// Decode parses a stored claim.
func Decode(data []byte) (Claim, error) {
	var c Claim
	return c, errors.Wrap(json.Unmarshal(data, &c), "decode claim")
}

// HasNonce reports whether a stored claim was made by the attempt with the nonce. Only
// that attempt may retract it.
func (c *Claim) HasNonce(nonce string) bool { return c.Nonce == nonce }

// DuplicateRefusal returns the refusal of a request whose key already has a claim. run
// is the run state that this instance remembers for that claim.
func DuplicateRefusal(found Claim, hash string, run refusal.RunState) *refusal.Refusal {
	if found.Hash != hash {
		return refusal.New(refusal.CodeInvalid, "the Idempotency-Key was used for another request")
	}
	at := time.UnixMilli(found.AtUnixMs).UTC().Format(time.RFC3339)
	return refusal.New(refusal.CodeConflict, "claimed at %s by request %s on instance %s", at, found.RequestID, found.Instance).WithRunState(run)
}
