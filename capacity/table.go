package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Target is a size that the fleet is planned to have in two years.
type Target struct {
	Size     float64
	Resource string
	// Keywords are lower-case parts of a benchmark's name which show that its size counts
	// this resource.
	Keywords []string
}

// Targets returns the target sizes. A benchmark belongs to the first target with a
// keyword that occurs in its name.
func Targets() []Target {
	return []Target{
		{Size: 120, Resource: "backend servers of a failure domain", Keywords: []string{"domainserver", "routing", "chooseserver"}},
		{Size: 196, Resource: "open streams of an instance", Keywords: []string{"stream"}}, // 1.5 million tokens/s at 47 ms per token, over 360 instances
		{Size: 52, Resource: "instances of a failure domain", Keywords: []string{"domaininstance", "slot", "watcher"}},
		{Size: 11000, Resource: "client accounts", Keywords: []string{"account", "key", "document", "snapshot", "quota", "ledger"}},
		{Size: 830, Resource: "backend servers", Keywords: []string{"server"}},
		{Size: 360, Resource: "instances", Keywords: []string{"instance", "member", "gossip", "exchange", "peer", "fanout", "config"}},
	}
}

// minSizes is the number of distinct sizes that a line needs to be extrapolated.
const minSizes = 4

func findTarget(benchmark string, targets []Target) (Target, bool) {
	name := strings.ToLower(benchmark)
	for _, t := range targets {
		for _, keyword := range t.Keywords {
			if strings.Contains(name, keyword) {
				return t, true
			}
		}
	}
	return Target{}, false
}

// WriteMarkdown writes a table with one line for each series.
func WriteMarkdown(w io.Writer, all []*Series, targets []Target) error {
	var b strings.Builder
	b.WriteString("| benchmark | metric | measured at | intercept | slope | R² | at size | of | value |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range all {
		writeSeries(&b, s, targets)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeSeries(b *strings.Builder, s *Series, targets []Target) {
	fit := FitLine(s.Points)
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %.3f |", s.Benchmark, s.Metric, formatSizes(s.Points),
		formatValue(fit.Intercept), formatValue(fit.Slope), fit.R2)
	target, ok := findTarget(s.Benchmark, targets)
	switch {
	case !ok:
		b.WriteString(" no target | | |\n")
	case fit.Sizes < minSizes:
		fmt.Fprintf(b, " %g | %s | fewer than %d sizes |\n", target.Size, target.Resource, minSizes)
	default:
		fmt.Fprintf(b, " %g | %s | %s |\n", target.Size, target.Resource, formatValue(fit.At(target.Size)))
	}
}

func formatSizes(points []Point) string {
	var out []string
	seen := make(map[float64]bool)
	for _, p := range points {
		if !seen[p.Size] {
			seen[p.Size] = true
			out = append(out, fmt.Sprintf("%g", p.Size))
		}
	}
	return strings.Join(out, ", ")
}

// formatValue prints four significant digits without an exponent.
func formatValue(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}
