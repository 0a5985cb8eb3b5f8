// Package via detects request loops between services. A request carries a signed token
// that lists the services it has passed through; a backend server that calls back into
// the gateway forwards the token, and a request for a service that is already in it is
// refused.
//
// The package does no I/O.
package via

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"

	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	// MaxDepth is how many services one request may pass through.
	MaxDepth = 8
	// MaxBytes bounds an encoded token.
	MaxBytes  = 2048
	separator = "."
)

// Token is the payload of the signed token.
type Token struct {
	Root  string   `json:"root"`  // id of the first request
	Chain []string `json:"chain"` // services, in the order of the calls
}

// Signer signs and verifies tokens with a secret that the whole fleet shares. It is safe
// for concurrent use.
type Signer struct {
	secret []byte
}

// NewSigner returns a signer. The secret should have at least 32 bytes.
func NewSigner(secret []byte) *Signer { return &Signer{secret: slices.Clone(secret)} }

func (s *Signer) computeMAC(payload string) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(payload))
	return mac.Sum(nil)
}

// Extend verifies the token of a request for a service and returns the token to send to
// that service's backend servers. An empty token starts a new chain.
func (s *Signer) Extend(encoded, requestID, service string) (string, *refusal.Refusal) {
	token := Token{Root: requestID}
	if encoded != "" {
		checked, ok := s.verify(encoded)
		if !ok {
			return "", refusal.New(refusal.CodeForbidden, "the via token is not one of this fleet")
		}
		token = checked
	}
	if slices.Contains(token.Chain, service) {
		return "", refusal.New(refusal.CodeLoop, "the request came through %s already: %s", service, strings.Join(token.Chain, " > "))
	}
	if len(token.Chain) >= MaxDepth {
		return "", refusal.New(refusal.CodeLoop, "the request has passed %d services, the limit is %d", len(token.Chain), MaxDepth)
	}
	token.Chain = append(token.Chain, service)
	return s.sign(token), nil
}

func (s *Signer) sign(token Token) string {
	data, err := json.Marshal(token)
	if err != nil {
		panic(err) // a struct of strings always has an encoding
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return payload + separator + base64.RawURLEncoding.EncodeToString(s.computeMAC(payload))
}

func (s *Signer) verify(encoded string) (Token, bool) {
	payload, signature, ok := strings.Cut(encoded, separator)
	if !ok || len(encoded) > MaxBytes {
		return Token{}, false
	}
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(sum, s.computeMAC(payload)) {
		return Token{}, false
	}
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return Token{}, false
	}
	var token Token
	return token, json.Unmarshal(data, &token) == nil
}
