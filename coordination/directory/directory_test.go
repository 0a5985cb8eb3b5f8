package directory

import (
	"slices"
	"testing"
)

// The instances of the caller's region stop in turn, faster than one stop takes, and for
// a moment all of them leave. A host has routes with homes and routes without. Callers
// stay in their region, and without any instance there they are sent to a home region:
// named any region, one request in seventeen on the routes with homes carried its data
// to a region that is neither its home nor its caller's.
func TestHomesComeBeforeOtherRegions(t *testing.T) {
	suva, labasa, lakeba := Instance{Address: "suva:1", Region: "viti-levu"}, Instance{Address: "labasa:1", Region: "vanua-levu"}, Instance{Address: "lakeba:1", Region: "lau-east"}
	leaving := Instance{Address: "labasa:2", Region: "vanua-levu", Leaving: true}
	homes := []string{"viti-levu", "vanua-levu"}
	for _, tc := range []struct {
		known []Instance
		homes []string
		want  []string
	}{
		{[]Instance{suva, labasa, lakeba}, homes, []string{"labasa:1"}},
		{[]Instance{suva, lakeba}, homes, []string{"suva:1"}},
		{[]Instance{lakeba}, homes, []string{"lakeba:1"}},
		{[]Instance{suva, lakeba}, nil, []string{"suva:1", "lakeba:1"}},
		{[]Instance{suva, leaving, labasa}, homes, []string{"labasa:1"}},
		{[]Instance{suva, leaving}, homes, []string{"labasa:2"}},
		{nil, homes, nil},
	} {
		if got := Choose(tc.known, "vanua-levu", tc.homes); !slices.Equal(got, tc.want) {
			t.Errorf("of %v with homes %v: %v, want %v", tc.known, tc.homes, got, tc.want)
		}
	}
}
