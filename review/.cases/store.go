package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // base64 on the wire
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	changed  chan struct{} // closed at every change
	leases   int64
	cutAfter time.Duration // a watch that has waited so long is cut; 0 for never
	cuts     int
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 10, items: make(map[string]item), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// cutWatches sets after which time a waiting watch is cut.
func (s *store) cutWatches(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
}

func (s *store) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/basilroute/kv-key":
		s.get(w, q.Get("key"))
	case path == "/basilroute/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/basilroute/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/basilroute/kv-txn":
		s.write(w, r)
	case path == "/basilroute/kv-lease":
		s.mu.Lock()
		s.leases++
		lease := s.leases
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]int64{"lease": lease, "ttl_ms": 10_000})
	case strings.HasPrefix(path, "/basilroute/kv-keep/"), strings.HasPrefix(path, "/basilroute/kv-lease-end/"):
		reply(w, http.StatusOK, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
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
		Revision   int64 `json:"revision"`
		CurrentRev int64 `json:"current_rev"`
	}{found, found.Revision, s.revision})
}

// pageSize is the most items of a page.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageSize
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageSize)], "more_pages": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	s.mu.Lock()
	cutAfter := s.cutAfter
	s.mu.Unlock()
	var cut <-chan time.Time
	if cutAfter > 0 {
		t := time.NewTimer(cutAfter)
		defer t.Stop()
		cut = t.C
	}
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		page := map[string]any{"events": events, "current_rev": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, page)
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // closes the channel without a response
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		s.change(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Remove {
		s.change(item{Key: key, Removed: true})
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

// change is called with the lock held.
func (s *store) change(i item) {
	s.revision++
	i.Revision = s.revision
	i.Created = s.revision
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value as the operator or a worker does. It returns when the store has confirmed it.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: encoded})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Removed: true})
}
