// Package experiment compares the routing, admission, quota and retry decisions with
// simpler baselines in virtual time. Every experiment is determined by a seed, so that
// it can be reproduced. `basilroute experiment --write` writes the tables to
// docs/MEASUREMENTS.md.
package experiment

import (
	"fmt"
	"io"
	"strings"
)

// Table is the result of an experiment.
type Table struct {
	Columns []string
	Rows    [][]string
	Notes   []string // what the rows show, and whether each goal is met or missed
}

// Experiment is one comparison.
type Experiment struct {
	Name  string // on the command line
	Title string
	Run   func(seed uint64) (Table, error)
}

// All returns the experiments in the order of their sections on the page.
func All() []Experiment {
	all := []Experiment{
		{Name: "quota", Title: "Fair share: rate and burst across the fleet", Run: quotaExperiment},
	}
	return append(all, policyExperiments()...)
}

// WriteMarkdown writes the table as a section of the page.
func (t Table) WriteMarkdown(w io.Writer, e Experiment, seed uint64) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n`basilroute experiment --seed %d %s`\n\n", e.Title, seed, e.Name)
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	b.WriteString("\n")
	for _, note := range t.Notes {
		fmt.Fprintf(&b, "- %s\n", note)
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}
