// Package directory chooses the instances that a caller who asks where to connect is
// told of. The package does no I/O.
package directory

import "slices"

// Instance is an entry instance as the one that answers knows it.
type Instance struct {
	Address string
	Region  string
	Leaving bool // it stops, and still serves for a while
}

// Choose returns the instances of the caller's region. While all of them stop, as in a
// rolling stop that is faster than one stop, those are still named: they serve on, and
// are back sooner than their callers would be. Only when the region has none at all do
// others follow: first those of regions that are homes of every route of the host that
// has homes, since a request that is sent elsewhere carries its data there; then any,
// since routes without homes can be served from everywhere.
func Choose(known []Instance, region string, homes []string) []string {
	var near, stopping, home, far []string
	for _, i := range known {
		switch {
		case i.Region == region && i.Leaving:
			stopping = append(stopping, i.Address)
		case i.Region == region:
			near = append(near, i.Address)
		case i.Leaving:
		case slices.Contains(homes, i.Region):
			home = append(home, i.Address)
		default:
			far = append(far, i.Address)
		}
	}
	for _, named := range [][]string{near, stopping, home, far} {
		if len(named) > 0 {
			return named
		}
	}
	return nil
}
