package yamldoc

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// level implements encoding.TextUnmarshaler.
type level int

func (l *level) UnmarshalText(text []byte) error {
	switch string(text) {
	case "low":
		*l = 1
	case "high":
		*l = 2
	default:
		return errors.Newf("want low or high, have %q", text)
	}
	return nil
}

type sample struct {
	Name  string            `yaml:"name"`
	Count int64             `yaml:"count"`
	Part  float64           `yaml:"part"`
	On    bool              `yaml:"on"`
	Wait  time.Duration     `yaml:"wait"`
	Level level             `yaml:"level"`
	Inner inner             `yaml:"inner"`
	Maybe *inner            `yaml:"maybe"`
	List  []string          `yaml:"list"`
	Rows  []inner           `yaml:"rows"`
	Words map[string]string `yaml:"words"`
	Deep  map[string]inner  `yaml:"deep"`
}

type inner struct {
	A int64  `yaml:"a"`
	B string `yaml:"b"`
}

// The expected output shows each finding with its line and column.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		var out sample
		r := Decode("doc.yaml", []byte(d.Input), &out)
		if d.Cmd == "peek" {
			r = Read("doc.yaml", []byte(d.Input)).DecodeLenient(&out)
		}
		if d.Cmd == "check" {
			for _, arg := range d.CmdArgs {
				r.Addf(arg.Key, "is not right")
			}
		}
		if err := r.Err(); err != nil {
			return err.Error() + "\n"
		}
		maybe := "nil"
		if out.Maybe != nil {
			maybe = fmt.Sprintf("%+v", *out.Maybe)
		}
		out.Maybe = nil
		return strings.ReplaceAll(fmt.Sprintf("%+v", out), "Maybe:<nil>", "Maybe:"+maybe) + "\n"
	})
}

func TestOversizeDocument(t *testing.T) {
	var out sample
	err := Decode("doc.yaml", []byte("name: "+strings.Repeat("x", MaxBytes)), &out).Err()
	if err == nil || !strings.Contains(err.Error(), "the limit is 1048576") {
		t.Errorf("%v", err)
	}
}

// Documents are untrusted input. For any content the decoder terminates without a
// panic, and every finding has a position inside the document.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		"", "name: a\n", "name: [\n", "a: &x {b: *x}\n", "&a [*a]", "? {a: b}\n: c\n", "{}", "---\n---\n", "!!int x", "name: !!binary x",
		"words: {a: 1, a: 2}\n", "list: [a, [b]]\n", "count: 9_223_372_036_854_775_808\n", "wait: 1y\n", "\t", "\xff\xfe", "|\n  x",
		"name: |\n  long\n  text\n", "inner: {a: 1e400}\n", "part: .nan\n", "<<: {name: x}\n", "deep: {x: {a: 1, z: 2}}\n", "name: *nothing\n",
		"- a\n- b\n", "name:\n", ":\n", "? \n", "'", "\"\\x", "name: \u2028x", "{a: {a: {a: {a: {a: }}}}}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var out sample
		var findings Findings
		if err := Decode("", []byte(text), &out).Err(); err != nil && !errors.As(err, &findings) {
			t.Fatalf("not findings: %v", err)
		}
		lines := strings.Count(text, "\n") + strings.Count(text, "\r") + 1
		for _, finding := range findings {
			if finding.Line < 0 || finding.Line > lines+1 || finding.Message == "" {
				t.Fatalf("no place in a document of %d lines: %+v", lines, finding)
			}
		}
	})
}
