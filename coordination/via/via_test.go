package via

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/refusal"
)

// Guards against requests that loop between services: no service gets a request twice, no
// chain exceeds the limit, and the refusal says that the request did not run.
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
				if refused.Code != refusal.CodeLoop || refused.RunState != refusal.NotRun {
					t.Fatalf("refused with %v", refused)
				}
				continue
			}
			seen[service], token = true, next
		}
	})
}

// Guards against a backend server that hides where a request has been, by a token that it
// made up, changed or took from another fleet.
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
		if refused == nil || refused.Code != refusal.CodeForbidden || refused.RunState != refusal.NotRun {
			t.Errorf("%s: %v", name, refused)
		}
	}
}

// Guards against a chain within MaxDepth whose token exceeds MaxBytes.
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
		t.Errorf("the token is too long: %d bytes", len(token))
	}
}
