package routed

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/yamldoc"
)

const goodSettings = `
id: front-1
region: viti-levu
domain: suva-a
domains: {"suva-a": "viti-levu"}
listen:
  callers: 192.0.2.1:1
  ready: 192.0.2.1:2
  directory: 192.0.2.1:3
  peers: 192.0.2.1:4
  relay: 192.0.2.1:5
seeds: ["192.0.2.2:4"]
store: {address: "192.0.2.9:1", least_lease: 1000ms}
bounds: {grace: 8s, directory_ttl: 5s}
retry: {ratio: 0.2, slack: 58, window: 10s}
link_mbps: 10.0
`

func TestSettings(t *testing.T) {
	s, err := ParseSettings("x.yaml", []byte(goodSettings))
	if err != nil || s.ID != "front-1" || s.Retry.Slack != 58 || s.LinkMbps != 10 || s.Store.CallTimeout == 0 {
		t.Errorf("%+v, %v", s, err)
	}
}

// All errors in a file are reported together, each with its position.
func TestSettingsFindingsComeTogether(t *testing.T) {
	bad := strings.NewReplacer("id: front-1", `id: ""`, "192.0.2.1:5", "somewhere", "192.0.2.2:4", "192.0.2.2",
		"grace: 8s", "grace: 0s", "ratio: 0.2", "ratio: -1", "link_mbps: 10.0", "link_mbps: -1", `"suva-a": "viti-levu"`, `"suva-a": "lau-east"`).Replace(goodSettings) + "nonsense: 1\n"
	_, err := ParseSettings("x.yaml", []byte(bad))
	var findings yamldoc.Findings
	if !errors.As(err, &findings) || len(findings) != 8 {
		t.Errorf("%d findings, want 8:\n%v", len(findings), err)
	}
	for _, f := range findings {
		if f.Line == 0 {
			t.Errorf("without a position: %s", f)
		}
	}
}

// A misspelled feature name in the settings would leave the mechanism on that an operator
// wants to switch off. It is reported as a finding with its position and the known names.
func TestUnknownFeatureIsAFinding(t *testing.T) {
	_, err := ParseSettings("x.yaml", []byte(goodSettings+"features: {fetch: false, fetches: false}\n"))
	var findings yamldoc.Findings
	if !errors.As(err, &findings) || len(findings) != 1 {
		t.Fatalf("%v", err)
	}
	if text := findings[0].String(); findings[0].Line == 0 || !strings.Contains(text, "fetches") || !strings.Contains(text, "far_fetch") {
		t.Errorf("%s", text)
	}
	s, err := ParseSettings("x.yaml", []byte(goodSettings+"features: {fetch: false}\n"))
	if err != nil || features.NewSet(s.Features).On(features.Fetch) {
		t.Errorf("%v, %v", s.Features, err)
	}
}
