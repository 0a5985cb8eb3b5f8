// Package docs checks the pages in this directory against the sources.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	steps = []string{
		"key check", "admission", "quota", "queue", "choose", "forward", "dispatch",
		"stream", "settle", "claim", "apply", "withdraw", "stop",
	}
	faults = []string{
		"kill", "freeze", "cut between domains", "cut from the platform", "store outage", "slow store",
		"lost answer", "lapsed lease", "racing operators", "stale list", "two at once",
	}
	testName   = regexp.MustCompile("`([a-z0-9_/]+): (Test[A-Za-z0-9_]+)`")
	testCell   = regexp.MustCompile("^`[a-z0-9_/]+: Test[A-Za-z0-9_]+`(, `[a-z0-9_/]+: Test[A-Za-z0-9_]+`)*( \\([^|]+\\))?$")
	reasonCell = regexp.MustCompile(`^does not apply: .+$`)
)

const notProved = "not proved"

// parseMatrix parses the tables of FAULTS.md and returns the cells by step and fault.
func parseMatrix(t *testing.T, page string) map[string]map[string]string {
	t.Helper()
	cells := make(map[string]map[string]string)
	step := ""
	for line := range strings.Lines(page) {
		if title, ok := strings.CutPrefix(strings.TrimSpace(line), "## "); ok {
			step = title
			continue
		}
		parts := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if !strings.HasPrefix(line, "|") || len(parts) != 2 || strings.HasPrefix(line, "|---") {
			continue
		}
		fault, cell := strings.TrimSpace(parts[0]), strings.TrimSpace(parts[1])
		if fault == "fault" {
			continue
		}
		if cells[step] == nil {
			cells[step] = make(map[string]string)
		}
		if cells[step][fault] != "" {
			t.Errorf("%s, %s: more than one cell", step, fault)
		}
		cells[step][fault] = cell
	}
	return cells
}

// hasTest reports whether the test files of a directory define a test.
func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(files, func(file string) bool {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(source), "\nfunc "+name+"(t *testing.T)")
	})
}

// The fault matrix has a cell for every step and fault, and each cell names existing
// tests, says "not proved", or gives a reason why the fault does not apply. This guards
// against cells that still name a test after it was renamed or deleted.
func TestFaultMatrixNamesRealTests(t *testing.T) {
	data, err := os.ReadFile("FAULTS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	cells := parseMatrix(t, page)
	if len(cells) != len(steps) {
		t.Errorf("%d tables, want one for each of %v", len(cells), steps)
	}
	unproved := 0
	for _, step := range steps {
		for _, fault := range faults {
			cell := cells[step][fault]
			if cell != notProved && !testCell.MatchString(cell) && !reasonCell.MatchString(cell) {
				t.Errorf("%s, %s: cell %q names no test and gives no reason", step, fault, cell)
			}
			if cell == notProved {
				unproved++
			}
		}
		if len(cells[step]) != len(faults) {
			t.Errorf("%s: %d cells, want %d", step, len(cells[step]), len(faults))
		}
	}
	for _, found := range testName.FindAllStringSubmatch(page, -1) {
		if !hasTest(t, found[1], found[2]) {
			t.Errorf("FAULTS.md names test %s, which does not exist in %s", found[2], found[1])
		}
	}
	t.Logf("%d of %d cells are not proved", unproved, len(steps)*len(faults))
}
