package service

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/yamldoc"
)

// The transcripts in testdata hold what a team sees when it checks or applies a document:
// all findings with line and column, or the document in force with its defaults.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			parsed, err := Parse("doc.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			switch {
			case d.HasArg("show") && parsed.Service != nil:
				return fmt.Sprintf("%+v\n", *parsed.Service)
			case d.HasArg("show") && parsed.Account != nil:
				return fmt.Sprintf("%+v\n", *parsed.Account)
			case d.HasArg("show"):
				return fmt.Sprintf("%+v\n", *parsed.Fleet)
			}
			return string(parsed.Kind) + " " + parsed.Name + "\n"
		})
	})
}

// Guards against documents that crash an instance. They come from the store and from peers
// of other versions, and an invalid one has to be rejected with findings.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"kind: fleet\nname: fleet\nregions:\n  suva-a: {domains: [suva-a-1]}\n",
		"kind: service\nname: notice-writer\ntype: model\nclasses: {bulk: {max_wait: 1s}}\n",
		"kind: service\nname: ledger\ntype: plain\noperations: {order: {cost: 1}}\n",
		"kind: account\nname: a\nrate: 1\nburst: 1\nkeys: [{id: a, sha256: b}]\n",
		"kind: account\nrate: .nan\nburst: .inf\n", "kind: account\nshares: {d: -1}\n", "kind: other\n", "kind: [service]\n",
		"kind: service\nclasses: []\n", "kind: fleet\nslots: {lease: -1s, promises: 99}\n", "", "kind: &k service\nname: *k\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse("", []byte(text))
		var findings yamldoc.Findings
		if err != nil && (!errors.As(err, &findings) || len(findings) == 0) {
			t.Fatalf("the error holds no findings: %v", err)
		}
		if err == nil && (d.Name == "" || d.Key() == "") {
			t.Fatalf("a document without a name: %+v", d)
		}
	})
}

func BenchmarkParseAccount(b *testing.B) {
	const text = "kind: account\nname: suva-grocers\nhome: suva-a\nrate: 6000\nburst: 60000\nkeys:\n" +
		"  - id: suva-grocers-1\n    sha256: 0b6fca4b2f5e1a6d8c3e7a9f0b6fca4b2f5e1a6d8c3e7a9f0b6fca4b2f5e1a6d\n"
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("", []byte(text)); err != nil {
			b.Fatal(err)
		}
	}
}
