package yamldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	File    string // name given to Decode; may be empty
	Line    int    // from 1; 0 if the position is not known
	Column  int    // from 1
	Path    string // field, such as classes.bulk.max_wait
	Message string
}

func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings is an error that holds all findings of a document.
type Findings []Finding

func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func (fs Findings) sorted() Findings {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}

// Report collects findings while a document is decoded and checked.
type Report struct {
	file      string
	lenient   bool // unknown fields are ignored
	findings  Findings
	positions map[string]position
	undecoded map[string]bool // fields whose value could not be decoded
}

func newReport(file string) *Report {
	return &Report{file: file, positions: map[string]position{"": {1, 1}}, undecoded: make(map[string]bool)}
}

type position struct{ line, column int }

// Addf adds a finding at the position of the field that path names, or of the nearest
// enclosing field in the document. It ignores findings about a field whose value could
// not be decoded, since that field has a finding already.
func (r *Report) Addf(path, format string, args ...any) {
	if r.undecoded[path] {
		return
	}
	at := r.lookup(path)
	r.add(at, path, fmt.Sprintf(format, args...))
}

func (r *Report) add(at position, path, message string) {
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.line, Column: at.column, Path: path, Message: message,
	})
}

// addUndecodable adds a finding about a value that could not be decoded.
func (r *Report) addUndecodable(at position, path, message string) {
	r.undecoded[path] = true
	r.add(at, path, message)
}

func (r *Report) lookup(path string) position {
	for {
		if at, ok := r.positions[path]; ok {
			return at
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return r.positions[""]
		}
		path = path[:i]
	}
}

// Err returns all findings in document order, or nil.
func (r *Report) Err() error {
	if len(r.findings) == 0 {
		return nil
	}
	return r.findings.sorted()
}
