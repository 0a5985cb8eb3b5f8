package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Target is a size of the fleet two years on.
type Target struct {
	Size     float64
	Resource string
	// Keywords are parts of a benchmark's name, in lower case, that say that its size
	// counts this.
	Keywords []string
}

// Targets returns the sizes to work out. The first whose word a benchmark's name
// holds is that benchmark's.
func Targets() []Target {
	return []Target{
		{Size: 120, Resource: "backend servers of a failure domain", Keywords: []string{"domainserver", "routing", "chooseserver"}},
		{Size: 196, Resource: "open streams of an instance", Keywords: []string{"stream"}}, // 1.5 million tokens/s at 47 ms over 360
		{Size: 52, Resource: "instances of a failure domain", Keywords: []string{"domaininstance", "slot", "watcher"}},
		{Size: 11000, Resource: "client accounts", Keywords: []string{"account", "key", "document", "snapshot", "quota", "ledger"}},
		{Size: 830, Resource: "backend servers", Keywords: []string{"server"}},
		{Size: 360, Resource: "instances", Keywords: []string{"instance", "member", "gossip", "exchange", "peer", "fanout", "config"}},
	}
}

// minSizes is how many sizes a slope needs before it says anything.
const minSizes = 4

func targetOf(benchmark string, targets []Target) (Target, bool) {
	name := strings.ToLower(benchmark)
	for _, t := range targets {
		for _, word := range t.Keywords {
			if strings.Contains(name, word) {
				return t, true
			}
		}
	}
	return Target{}, false
}

// WriteMarkdown writes one line for each series.
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
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %.3f |", s.Benchmark, s.Metric, sizes(s.Points),
		figure(fit.Intercept), figure(fit.Slope), fit.R2)
	target, ok := targetOf(s.Benchmark, targets)
	switch {
	case !ok:
		b.WriteString(" no target | | |\n")
	case fit.Sizes < minSizes:
		fmt.Fprintf(b, " %g | %s | fewer than %d sizes |\n", target.Size, target.Resource, minSizes)
	default:
		fmt.Fprintf(b, " %g | %s | %s |\n", target.Size, target.Resource, figure(fit.At(target.Size)))
	}
}

func sizes(points []Point) string {
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

// figure prints four significant digits without an exponent.
func figure(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}
