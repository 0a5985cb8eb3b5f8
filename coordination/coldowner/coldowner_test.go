package coldowner

import (
	"fmt"
	"testing"
)

const servers = 200

func inTouch(id string) Member { return Member{ID: id, Reachable: true, Confirmed: true} }

// Guards against a server with two owners where views differ: one instance knows of a member's end,
// or of its shutdown, before another one does.
func TestDifferentViewsYieldOneOwner(t *testing.T) {
	a, b, c := inTouch("a"), inTouch("b"), inTouch("c")
	leaving := func(m Member) Member {
		m.Leaving = true
		return m
	}
	for name, views := range map[string]map[string][]Member{
		"one has ended":         {"a": {leaving(a), leaving(b)}, "b": {leaving(a), leaving(b), leaving(c)}},
		"one leaves":            {"a": {a, b, leaving(c)}, "b": {a, b, c}, "c": {a, b, leaving(c)}},
		"the last one leaves":   {"a": {leaving(a), leaving(b), c}, "b": {leaving(a), leaving(b), leaving(c)}, "c": {leaving(a), leaving(b), leaving(c)}},
		"one joins while leave": {"a": {leaving(a), leaving(b), c}, "b": {leaving(a), leaving(b), c}, "c": {leaving(a), c}},
	} {
		for s := range servers {
			owners := 0
			for self, members := range views {
				if NewView(members).Share(fmt.Sprint("s", s), self) > 0 {
					owners++
				}
			}
			if owners > 1 {
				t.Fatalf("%s: %d owners", name, owners)
			}
		}
	}
}
