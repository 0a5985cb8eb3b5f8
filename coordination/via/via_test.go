package via

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/refusal"
)

// Backend servers pass a request on from service to service, each with the token
// that it was given. However they go on, no service gets the request twice and
// no chain grows over the limit: the instance refuses, and says that it did not run.
func TestNoServiceTwiceInAChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signers := []*Signer{NewSigner([]byte("fleet")), NewSigner([]byte("fleet"))}
		calls := rapid.SliceOfN(rapid.StringMatching(`[a-l]`), 1, 30).Draw(t, "services")
		seen := make(map[string]bool)
		token := ""
		for n, service := range calls {
			next, refused := signers[n%2].Extend(token, "root", service)
			want := seen[service] || len(seen) >= MaxDepth
			if want != (refused != nil) {
				t.Fatalf("%s after %v: %v", service, seen, refused)
			}
			if refused != nil {
				if refused.Code != refusal.CodeLoop || refused.Run != refusal.NotRun {
					t.Fatalf("refused with %v", refused)
				}
				continue
			}
			seen[service], token = true, next
		}
	})
}

// A backend server sends a token that it made up, changed or took from another
// fleet, to hide where a request has been. It is refused, and nothing runs.
func TestForgedTokenIsRefused(t *testing.T) {
	own := NewSigner([]byte("fleet"))
	token, _ := own.Extend("", "root", "a")
	foreign, _ := NewSigner([]byte("another fleet")).Extend("", "root", "a")
	payload, signature, _ := strings.Cut(token, separator)
	for name, forged := range map[string]string{
		"foreign": foreign, "no signature": payload, "empty signature": payload + separator,
		"changed": "x" + payload[1:] + separator + signature, "long": strings.Repeat("a", MaxBytes+1),
	} {
		_, refused := own.Extend(forged, "root", "b")
		if refused == nil || refused.Code != refusal.CodeForbidden || refused.Run != refusal.NotRun {
			t.Errorf("%s: %v", name, refused)
		}
	}
}

// The longest token that the limit lets through fits into the header's bound.
func TestLongestTokenFits(t *testing.T) {
	s := NewSigner([]byte("fleet"))
	token := ""
	for n := range MaxDepth {
		var refused *refusal.Refusal
		if token, refused = s.Extend(token, strings.Repeat("r", 36), strings.Repeat(string(rune('a'+n)), 63)); refused != nil {
			t.Fatal(refused)
		}
	}
	if len(token) > MaxBytes {
		t.Errorf("%d bytes", len(token))
	}
}
