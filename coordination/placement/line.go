package placement

// fittedLine is a least-squares line through samples that lose their weight with each further one.
type fittedLine struct{ n, x, y, xx, xy float64 }

// add adds a sample. retention is the factor by which it decays the older ones.
func (f *fittedLine) add(x, y, retention float64) {
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*sum *= retention
	}
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// coefficients returns the value at 0 and the slope, and false while the samples are fewer than
// minSamples or their standard deviation is below minSpread.
func (f *fittedLine) coefficients(minSamples, minSpread float64) (intercept, slope float64, known bool) {
	if f.n < minSamples {
		return 0, 0, false
	}
	mean := f.x / f.n
	variance := f.xx/f.n - mean*mean
	if variance < minSpread*minSpread {
		return 0, 0, false
	}
	slope = max((f.xy/f.n-mean*f.y/f.n)/variance, 0)
	return f.y/f.n - slope*mean, slope, true
}
