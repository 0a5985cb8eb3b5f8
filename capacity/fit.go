package capacity

import "math"

// Fit is a straight line fitted to points.
type Fit struct {
	Intercept float64
	Slope     float64 // per unit of size
	R2        float64 // coefficient of determination, 0 to 1
	Sizes     int     // number of distinct sizes among the points
}

// FitLine fits by least squares. Repeated runs of one size count as points of their
// own. With fewer than two sizes there is no slope, and the intercept is the mean.
func FitLine(points []Point) Fit {
	n := float64(len(points))
	sizes := make(map[float64]bool)
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
		sizes[p.Size] = true
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Value - meanY)
		syy += (p.Value - meanY) * (p.Value - meanY)
	}
	fit := Fit{Intercept: meanY, Sizes: len(sizes)}
	if sxx == 0 {
		return fit
	}
	fit.Slope = sxy / sxx
	fit.Intercept = meanY - fit.Slope*meanX
	fit.R2 = 1 // for equal values, which the line fits exactly
	if syy > 0 {
		fit.R2 = sxy * sxy / (sxx * syy)
	}
	return fit
}

// At returns the line's value at a size, clamped at 0, since no benchmark has a
// negative value.
func (f Fit) At(size float64) float64 {
	return math.Max(0, f.Intercept+f.Slope*size)
}
