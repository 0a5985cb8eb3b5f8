package servers

import (
	"testing"
	"time"
)

func engineIdentity(id, address string) Identity {
	return Identity{ID: id, Service: "lm", Address: address}
}

// Guards against losing the address of a server that is no longer listed while a generation
// still runs on it.
func TestServerIsFoundAfterItsRemoval(t *testing.T) {
	now := time.Now()
	table := New()
	table.Replace([]Identity{engineIdentity("e", "http://192.0.2.1:8090")}, now)
	table.Replace(nil, now)
	if server, ok := table.Find("lm", "e"); !ok || server.Address != "http://192.0.2.1:8090" || server.Usable() {
		t.Errorf("found %t: %+v", ok, server)
	}
	if n := len(table.Entries("lm")) + len(table.All()); n != 0 {
		t.Errorf("%d entries of a server that is not listed", n)
	}
	table.Replace(nil, now.Add(departedRetention))
	if _, ok := table.Find("lm", "e"); ok {
		t.Error("found after the retention")
	}
}

// Guards against sending the request of one service to another one that took over the address
// of its server.
func TestReusedAddressIsForgotten(t *testing.T) {
	const address = "http://192.0.2.1:8090"
	now := time.Now()
	table := New()
	table.Replace([]Identity{engineIdentity("e", address)}, now)
	table.Replace([]Identity{{ID: "p", Service: "desk", Address: address}}, now)
	if server, ok := table.Find("lm", "e"); ok {
		t.Errorf("found at %s", server.Address)
	}
	table.Replace([]Identity{engineIdentity("e", "http://192.0.2.2:8090")}, now)
	if server, ok := table.Find("lm", "e"); !ok || !server.Listed || server.Address != "http://192.0.2.2:8090" {
		t.Errorf("found %t after its return: %+v", ok, server)
	}
}
