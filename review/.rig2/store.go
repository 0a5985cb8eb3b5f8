package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a stored key and value, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
}

func startStore() *store {
	s := &store{changed: make(chan struct{}), revision: 1, items: make(map[string]item), leases: make(map[int64]*lease)}
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

const pageSize = 500

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/basilroute/")
	switch {
	case path == "kv-key":
		s.get(w, query.Get("key"))
	case path == "kv-range":
		s.list(w, query.Get("path_prefix"), query.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.watch(w, r, query.Get("path_prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	case path == "kv-txn":
		s.write(w, r)
	case path == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		s.endLease(id)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Current int64 `json:"current_rev"`
	}{found, s.revision})
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "more_pages": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
		return
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []item   `json:"expect_rev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range body.Expect {
		if s.items[e.Key].Revision == e.Revision {
			continue
		}
		current := []item{}
		for _, e := range body.Expect {
			if it, ok := s.items[e.Key]; ok {
				current = append(current, it)
			}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		s.put(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Remove {
		s.put(item{Key: key, Removed: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// put is called with the lock held.
func (s *store) put(it item) {
	old, ok := s.items[it.Key]
	if it.Removed && !ok {
		return
	}
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	if it.Removed {
		delete(s.items, it.Key)
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(max(body.TTL, 1000))*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.put(item{Key: key, Removed: true})
		}
	}
}

// set writes a value as an operator or a worker would.
func (s *store) set(key string, value any) {
	encoded, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item{Key: key, Value: encoded})
}

// remove removes a key as an operator or a worker would.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item{Key: key, Removed: true})
}
