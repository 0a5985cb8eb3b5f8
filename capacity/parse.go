// Package capacity fits straight lines to benchmarks that were run at several sizes and
// extrapolates them to the planned sizes of the fleet.
//
// It reads the output of `go test -bench Size -benchmem`. A benchmark is included if it
// is named BenchmarkSize<What> and its sub-benchmarks are named n=<size>.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Point is one measured value.
type Point struct {
	Size  float64
	Value float64
}

// Series holds the points of one metric of one benchmark.
type Series struct {
	Benchmark string // without BenchmarkSize and the size
	Metric    string // unit, such as ns/op
	Points    []Point
}

// benchmarkName matches name, variant and size; the number behind the dash is GOMAXPROCS.
var benchmarkName = regexp.MustCompile(`^BenchmarkSize([^/\s]*)((?:/[^/\s]+)*?)/n=(\d+)(?:-\d+)?$`)

// maxLineBytes bounds a line of go test's output.
const maxLineBytes = 1 << 20

// Parse returns the series in the order in which they first appear. Lines that are not
// benchmarks by size are skipped.
func Parse(r io.Reader) ([]*Series, error) {
	var all []*Series
	known := make(map[string]*Series)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 {
			continue
		}
		match := benchmarkName.FindStringSubmatch(fields[0])
		if match == nil {
			continue
		}
		size, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "size of %s", fields[0])
		}
		name := match[1] + match[2]
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "value of %s", fields[0])
			}
			key := name + " " + fields[i+1]
			s := known[key]
			if s == nil {
				s = &Series{Benchmark: name, Metric: fields[i+1]}
				known[key] = s
				all = append(all, s)
			}
			s.Points = append(s.Points, Point{Size: size, Value: value})
		}
	}
	return all, errors.Wrap(lines.Err(), "benchmark output")
}
