package features

import (
	"slices"
	"testing"
)

func TestSet(t *testing.T) {
	s := NewSet(map[Name]bool{Fetch: false, Comeback: true})
	if s.On(Fetch) || !s.On(Comeback) || !s.On(Digests) || !slices.Equal(s.Off(), []Name{Fetch}) {
		t.Errorf("off: %v", s.Off())
	}
	if len((Set{}).Off()) != 0 || !slices.IsSorted(All()) {
		t.Error("all are on by default, and listed by name")
	}
	if Known("fetches") || !Known(Fetch) {
		t.Error("a name is known or not")
	}
}
