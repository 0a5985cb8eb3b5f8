// Package via keeps requests from looping between services. A request carries a
// signed token with the services that it has passed; a backend server that calls
// back into the gateway passes the token on, and a service that is in it already
// is refused.
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
	// MaxDepth is how many services one request may pass.
	MaxDepth = 8
	// MaxBytes bounds an encoded token.
	MaxBytes  = 2048
	separator = "."
)

// Token is what a request carries.
type Token struct {
	Root  string   `json:"root"`  // id of the first request
	Chain []string `json:"chain"` // services, the first one first
}

// Signer signs and checks tokens with a secret of the whole fleet. It is safe
// for concurrent use.
type Signer struct {
	secret []byte
}

// NewSigner returns a signer. The secret should have at least 32 bytes.
func NewSigner(secret []byte) *Signer { return &Signer{secret: slices.Clone(secret)} }

func (s *Signer) sum(payload string) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(payload))
	return mac.Sum(nil)
}

// Extend checks the token of a request for a service and returns the token to
// hand to that service's backend servers. An empty token begins a chain.
func (s *Signer) Extend(encoded, requestID, service string) (string, *refusal.Refusal) {
	token := Token{Root: requestID}
	if encoded != "" {
		checked, ok := s.check(encoded)
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
	return payload + separator + base64.RawURLEncoding.EncodeToString(s.sum(payload))
}

func (s *Signer) check(encoded string) (Token, bool) {
	payload, signature, ok := strings.Cut(encoded, separator)
	if !ok || len(encoded) > MaxBytes {
		return Token{}, false
	}
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(sum, s.sum(payload)) {
		return Token{}, false
	}
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return Token{}, false
	}
	var token Token
	return token, json.Unmarshal(data, &token) == nil
}
