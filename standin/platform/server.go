package platform

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/platformapi"
)

// Faults are the failures to inject.
type Faults struct {
	Outage        bool          `json:"outage"`       // every call fails
	Delay         time.Duration `json:"delay"`        // added to every call, nanoseconds in JSON
	LoseResponses int           `json:"lose_answers"` // the next writes take effect, but their responses are lost
	ListLag       time.Duration `json:"list_lag"`     // age of the list of instances, nanoseconds in JSON
}

// Server is the stand-in. Use Handler to serve it.
type Server struct {
	store *store

	mu        sync.Mutex
	faults    Faults
	calls     map[string]int64
	instances map[string]platformapi.Instance
	history   []listVersion
	directory map[string][]string
}

// listVersion is the list of instances as it was from a point in time on.
type listVersion struct {
	validFrom time.Time
	instances []platformapi.Instance
}

// New returns an empty platform.
func New() *Server {
	return &Server{
		store:     newStore(),
		calls:     make(map[string]int64),
		instances: make(map[string]platformapi.Instance),
		directory: make(map[string][]string),
	}
}

// Close stops the timers of leases.
func (s *Server) Close() { s.store.close() }

// SetFaults replaces the injected failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often each operation was called.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// SetInstance adds an instance to the list or changes it.
func (s *Server) SetInstance(i platformapi.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[i.ID] = i
	s.recordList()
}

// RemoveInstance removes an instance from the list.
func (s *Server) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
	s.recordList()
}

func (s *Server) recordList() {
	s.history = append(s.history, listVersion{time.Now(), slices.Collect(maps.Values(s.instances))})
}

// Snapshot copies the key-value service's content.
func (s *Server) Snapshot() Snapshot { return s.store.snapshot() }

// Restore replaces the content by an older one, as a service restored from a backup would.
func (s *Server) Restore(from Snapshot) { s.store.restore(from) }

// Handler serves the platform's API, and /admin/ for injecting faults.
func (s *Server) Handler() (http.Handler, error) {
	api, err := platformapi.NewServer(s)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.HandleFunc("PUT /admin/faults", adminSet(s.SetFaults))
	mux.HandleFunc("PUT /admin/instances", adminSet(s.SetInstance))
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Calls())
	})
	return mux, nil
}

func adminSet[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}

// beginCall counts the call and applies the delay and the outage that are injected.
func (s *Server) beginCall(ctx context.Context, operation string) error {
	s.mu.Lock()
	s.calls[operation]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Outage {
		return apiError(http.StatusServiceUnavailable, platformapi.ErrorCodeUnavailable, "injected outage")
	}
	return nil
}

// finishWrite aborts the connection of a write that took effect, if a lost response is
// injected.
func (s *Server) finishWrite() {
	s.mu.Lock()
	lose := s.faults.LoseResponses > 0
	if lose {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func apiError(status int, code platformapi.ErrorCode, message string) *platformapi.ErrorStatusCode {
	return &platformapi.ErrorStatusCode{
		StatusCode: status,
		Response:   platformapi.Error{Code: code, Message: message},
	}
}

// NewError implements platformapi.Handler.
func (s *Server) NewError(_ context.Context, err error) *platformapi.ErrorStatusCode {
	var typed *platformapi.ErrorStatusCode
	if errors.As(err, &typed) {
		return typed
	}
	return apiError(http.StatusInternalServerError, platformapi.ErrorCodeInvalid, err.Error())
}

// GetKey implements platformapi.Handler.
func (s *Server) GetKey(ctx context.Context, p platformapi.GetKeyParams) (*platformapi.KeyValue, error) {
	if err := s.beginCall(ctx, "get"); err != nil {
		return nil, err
	}
	e, ok := s.store.get(p.Key)
	if !ok {
		return nil, apiError(http.StatusNotFound, platformapi.ErrorCodeNotFound, p.Key)
	}
	kv := e.keyValue(p.Key)
	return &kv, nil
}

// PutKey implements platformapi.Handler.
func (s *Server) PutKey(ctx context.Context, req *platformapi.PutRequest) (*platformapi.PutResult, error) {
	if err := s.beginCall(ctx, "put"); err != nil {
		return nil, err
	}
	e, code := s.store.put(req)
	switch code {
	case "":
		s.finishWrite()
		return &platformapi.PutResult{Revision: e.revision}, nil
	case platformapi.ErrorCodeConflict:
		refused := apiError(http.StatusConflict, code, "the key has another revision")
		refused.Response.Current = platformapi.NewOptKeyValue(e.keyValue(req.Key))
		return nil, refused
	default:
		return nil, apiError(http.StatusUnprocessableEntity, code, req.Key)
	}
}

// ListKeys implements platformapi.Handler.
func (s *Server) ListKeys(ctx context.Context, p platformapi.ListKeysParams) (*platformapi.KeyList, error) {
	if err := s.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	list, _ := s.store.list(p.Prefix, p.After.Or(0))
	return list, nil
}

// WatchKeys implements platformapi.Handler.
func (s *Server) WatchKeys(ctx context.Context, p platformapi.WatchKeysParams) (*platformapi.KeyList, error) {
	if err := s.beginCall(ctx, "watch"); err != nil {
		return nil, err
	}
	end := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer end.Stop()
	for {
		list, changed := s.store.list(p.Prefix, p.After)
		if len(list.Items) > 0 {
			return list, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return list, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// GrantLease implements platformapi.Handler.
func (s *Server) GrantLease(ctx context.Context, req *platformapi.LeaseRequest) (*platformapi.Lease, error) {
	if err := s.beginCall(ctx, "lease"); err != nil {
		return nil, err
	}
	id := s.store.grantLease(time.Duration(req.TTLMs) * time.Millisecond)
	s.finishWrite()
	return &platformapi.Lease{ID: id, TTLMs: req.TTLMs}, nil
}

// KeepAlive implements platformapi.Handler.
func (s *Server) KeepAlive(ctx context.Context, p platformapi.KeepAliveParams) (*platformapi.Lease, error) {
	if err := s.beginCall(ctx, "keepalive"); err != nil {
		return nil, err
	}
	ttl, ok := s.store.keepAlive(p.ID)
	if !ok {
		return nil, apiError(http.StatusNotFound, platformapi.ErrorCodeLeaseNotFound, "the lease has ended")
	}
	s.finishWrite()
	return &platformapi.Lease{ID: p.ID, TTLMs: ttl.Milliseconds()}, nil
}

// RevokeLease implements platformapi.Handler.
func (s *Server) RevokeLease(ctx context.Context, p platformapi.RevokeLeaseParams) error {
	if err := s.beginCall(ctx, "revoke"); err != nil {
		return err
	}
	if !s.store.endLease(p.ID) {
		return apiError(http.StatusNotFound, platformapi.ErrorCodeLeaseNotFound, "the lease has ended")
	}
	s.finishWrite()
	return nil
}

// ListInstances implements platformapi.Handler.
func (s *Server) ListInstances(ctx context.Context) ([]platformapi.Instance, error) {
	if err := s.beginCall(ctx, "instances"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.faults.ListLag)
	visible := []platformapi.Instance{}
	for _, version := range s.history {
		if !version.validFrom.After(cutoff) {
			visible = version.instances
		}
	}
	return visible, nil
}

// GetDirectory implements platformapi.Handler.
func (s *Server) GetDirectory(ctx context.Context, p platformapi.GetDirectoryParams) ([]string, error) {
	if err := s.beginCall(ctx, "directory"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.directory[p.Name]...), nil
}

// PutDirectory implements platformapi.Handler.
func (s *Server) PutDirectory(ctx context.Context, addresses []string, p platformapi.PutDirectoryParams) error {
	if err := s.beginCall(ctx, "directory"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory[p.Name] = addresses
	return nil
}
