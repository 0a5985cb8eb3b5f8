package yamldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing wrong with a document.
type Finding struct {
	File    string // name given to Decode; may be empty
	Line    int    // from 1; 0 when the place is not known
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

// Findings is an error that carries everything found in a document.
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
	file     string
	lenient  bool // unknown fields are passed over
	findings Findings
	places   map[string]place
	undone   map[string]bool // fields whose value could not be decoded
}

func newReport(file string) *Report {
	return &Report{file: file, places: map[string]place{"": {1, 1}}, undone: make(map[string]bool)}
}

type place struct{ line, column int }

// Addf adds a finding at the place of the field that path names, or at the
// nearest enclosing field that the document holds. A check of a field whose
// value could not be decoded has nothing to say: its finding is there already.
func (r *Report) Addf(path, format string, args ...any) {
	if r.undone[path] {
		return
	}
	at := r.lookup(path)
	r.add(at, path, fmt.Sprintf(format, args...))
}

func (r *Report) add(at place, path, message string) {
	r.findings = append(r.findings, Finding{
		File: r.file, Line: at.line, Column: at.column, Path: path, Message: message,
	})
}

// wrong adds a finding about a value that could not be decoded.
func (r *Report) wrong(at place, path, message string) {
	r.undone[path] = true
	r.add(at, path, message)
}

func (r *Report) lookup(path string) place {
	for {
		if at, ok := r.places[path]; ok {
			return at
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return r.places[""]
		}
		path = path[:i]
	}
}

// Err returns all findings in the order of the document, or nil.
func (r *Report) Err() error {
	if len(r.findings) == 0 {
		return nil
	}
	return r.findings.sorted()
}
