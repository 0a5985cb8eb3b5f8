package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against an owner that is not replaced when it leaves, against one that changes without need,
// and against a look-up that costs as much as there are members.
func TestOwners(t *testing.T) {
	var o Owners
	var members []string
	for i := range 330 {
		members = append(members, fmt.Sprint("front-", i))
	}
	before := make(map[string]string)
	for i := range 100 {
		key := fmt.Sprint("s", i)
		before[key] = o.Of(key, &members)
	}
	if n := testing.AllocsPerRun(100, func() { o.Of("s7", &members) }); n != 0 {
		t.Errorf("%.0f allocations in a look-up", n)
	}
	fewer := members[1:]
	for key, owner := range before {
		if now := o.Of(key, &fewer); now == members[0] || owner != members[0] && now != owner {
			t.Errorf("%s moved from %s to %s when %s left", key, owner, now, members[0])
		}
	}
	if got := o.Of("s", &[]string{}); got != "" {
		t.Errorf("owner %q without members", got)
	}
}
