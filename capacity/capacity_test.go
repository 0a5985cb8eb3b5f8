package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		all, err := Parse(strings.NewReader(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		var out bytes.Buffer
		if err := WriteMarkdown(&out, all, Targets()); err != nil {
			return err.Error() + "\n"
		}
		return out.String()
	})
}

func TestFitLine(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	exact := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	if !near(exact.Intercept, 3) || !near(exact.Slope, 2) || !near(exact.R2, 1) || !near(exact.At(100), 203) {
		t.Errorf("fit of points on a line: %+v", exact)
	}
	noise := FitLine([]Point{{1, 1}, {2, -1}, {3, 1}, {4, -1}})
	if noise.R2 > 0.3 {
		t.Errorf("fit of noise has R2 above 0.3: %+v", noise)
	}
	if one := FitLine([]Point{{5, 2}, {5, 4}}); one.Slope != 0 || one.Intercept != 3 || one.Sizes != 1 {
		t.Errorf("fit of points of one size: %+v", one)
	}
	if below := (Fit{Intercept: -10, Slope: 1}); below.At(5) != 0 {
		t.Error("At does not clamp a negative value to 0")
	}
}
