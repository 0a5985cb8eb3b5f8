package waitqueue

import (
	"math"
	"time"
)

const (
	// meterDecaySeconds is the time constant over which rates are averaged: the rate of starts
	// falls within a second when servers crash.
	meterDecaySeconds = 1.0
	// maxWait bounds expected waits; it is beyond any deadline.
	maxWait = time.Hour
)

// meter measures how often something happens per second.
type meter struct {
	count float64 // decays over meterDecaySeconds
	at    time.Time
}

func (m *meter) add(now time.Time) {
	m.count = m.value(now) + 1
	m.at = now
}

func (m *meter) value(now time.Time) float64 {
	return m.count * math.Exp(-max(now.Sub(m.at).Seconds(), 0)/meterDecaySeconds)
}

func (m *meter) rate(now time.Time) float64 { return m.value(now) / meterDecaySeconds }

// waitFor returns how long it takes until n requests have started.
func waitFor(n, rate float64) time.Duration {
	if rate <= 0 || n/rate >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(n / rate * float64(time.Second))
}
