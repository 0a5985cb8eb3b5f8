package quotashare

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/service"
)

var acme = &service.Account{Name: "acme"}

// fleetOf returns instances spread over failure domains.
func fleetOf(size, domains int) []Holder {
	var out []Holder
	for i := range size {
		out = append(out, Holder{fmt.Sprint("i", i), fmt.Sprint("d", i%domains)})
	}
	return out
}

// Guards against shares of one set that add up to more or less than the whole.
func TestSharesOfASetAddUpToTheWhole(t *testing.T) {
	for _, size := range []int{1, 3, 8, 9, 64, 195, 360} {
		fleet, total, lends := fleetOf(size, min(size, 6)), 0.0, 0
		for _, h := range fleet {
			alloc := NewDivision(h.ID, fleet).Allocate(acme)
			total += alloc.Share
			if alloc.Lends != slices.Contains(alloc.Lenders, h.ID) {
				t.Errorf("%d instances: %s lends: %v, but the lenders are %v", size, h.ID, alloc.Lends, alloc.Lenders)
			}
			if alloc.Lends {
				lends++
			}
		}
		if math.Abs(total-1) > 1e-9 || lends != min(size, 6*lendersPerDomain) {
			t.Errorf("%d instances: the shares add up to %.6f, with %d lenders", size, total, lends)
		}
	}
}

// Guards against a share that grows with the set: together with shares by the smaller set it would exceed the whole.
func TestPartsNeverGrowWithTheSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fleet []Holder
		shares := make(map[string]float64)
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			fleet = append(fleet, Holder{fmt.Sprint("i", i), rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "domain")})
			for _, h := range fleet {
				share := NewDivision(h.ID, fleet).Allocate(acme).Share
				if before, known := shares[h.ID]; known && share > before+1e-12 {
					t.Fatalf("the share of %s grew from %.4f to %.4f with the instance %d", h.ID, before, share, i)
				}
				shares[h.ID] = share
			}
		}
	})
}

// Guards against a failure domain that has no lenders once it is partitioned.
func TestEachDomainHasLenders(t *testing.T) {
	fleet := fleetOf(195, 6)
	byDomain := make(map[string]int)
	for _, id := range NewDivision("i0", fleet).Allocate(acme).Lenders {
		at := slices.IndexFunc(fleet, func(h Holder) bool { return h.ID == id })
		byDomain[fleet[at].Domain]++
	}
	for domain, lenders := range byDomain {
		if lenders != lendersPerDomain {
			t.Errorf("%s has %d lenders", domain, lenders)
		}
	}
	if len(byDomain) != 6 {
		t.Errorf("lenders in %d failure domains", len(byDomain))
	}
}

// BenchmarkSizeDivision measures the allocation of one account, which is computed for each account when the set grows.
func BenchmarkSizeDivision(b *testing.B) {
	for _, size := range []int{30, 100, 195, 360} {
		b.Run(fmt.Sprintf("n=%d", size), func(b *testing.B) {
			division := NewDivision("i0", fleetOf(size, 6))
			b.ReportAllocs()
			for b.Loop() {
				division.Allocate(acme)
			}
		})
	}
}
