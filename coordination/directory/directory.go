// Package directory selects the instances that are returned to a caller who asks where
// to connect. The package does no I/O.
package directory

import "slices"

// Instance is an entry instance as known by the instance that answers.
type Instance struct {
	Address string
	Region  string
	Leaving bool // it is shutting down, and still serves for a while
}

// Choose returns the instances of the caller's region. If all of them are leaving, as in a
// rolling restart that is faster than one shutdown, they refuse what may outlast them, and the
// instances of the home regions that all routes of the host with home regions share are returned
// instead. A request that is sent to any other region takes its data there, so that one is used
// only if the region has no instance at all, since routes without home regions can be served from
// everywhere.
func Choose(known []Instance, region string, homes []string) []string {
	var local, leaving, home, remote []string
	for _, i := range known {
		switch {
		case i.Region == region && i.Leaving:
			leaving = append(leaving, i.Address)
		case i.Region == region:
			local = append(local, i.Address)
		case i.Leaving:
		case slices.Contains(homes, i.Region):
			home = append(home, i.Address)
		default:
			remote = append(remote, i.Address)
		}
	}
	for _, addresses := range [][]string{local, home, leaving, remote} {
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
