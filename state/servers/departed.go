package servers

import "time"

// departedRetention is how long a removed server can still be found. Another instance may run
// a generation on it that has to be resumed or cancelled through this one: the platform's list
// lags, and a leaving server finishes what it has.
const departedRetention = 10 * time.Minute

// departed is a server that was removed from the table.
type departed struct {
	server Server
	at     time.Time
}

// prune forgets the departed servers whose retention has passed, and those whose address
// another server has now: they would receive the requests of another service.
func (s *shard) prune(addresses map[string]bool, now time.Time) {
	for id, d := range s.departed {
		if now.Sub(d.at) >= departedRetention || addresses[d.server.Address] {
			delete(s.departed, id)
		}
	}
}

// findDeparted returns a copy of a server that was removed a short time ago.
func (t *Table) findDeparted(service, id string) (Server, bool) {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	d, ok := s.departed[id]
	return d.server, ok
}
