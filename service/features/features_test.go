package features

import (
	"slices"
	"testing"
)

func TestSet(t *testing.T) {
	s := NewSet(map[Name]bool{Fetch: false, RetryAfterPacing: true})
	if s.On(Fetch) || !s.On(RetryAfterPacing) || !s.On(LoadReports) || !slices.Equal(s.Off(), []Name{Fetch}) {
		t.Errorf("off: %v", s.Off())
	}
	if len((Set{}).Off()) != 0 || !slices.IsSorted(All()) {
		t.Error("a feature is off by default, or All is not ordered by name")
	}
	if Known("fetches") || !Known(Fetch) {
		t.Error("Known is wrong about a name")
	}
}
