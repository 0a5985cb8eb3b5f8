// Package plain is a stand-in for a plain service. It counts how often each
// operation ran, by the field "id" of the request's body, so that a test can
// verify that an operation ran at most once. Faults can be injected.
package plain

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/protocol/plainapi"
)

// Faults are the failures to inject.
type Faults struct {
	Delay          time.Duration `json:"delay"`            // before an operation runs, nanoseconds in JSON
	ResetAfterRead int           `json:"reset_after_read"` // the next requests are read but not run, and their connection is reset
	LoseResponses  int           `json:"lose_answers"`     // the next requests run, but their responses are lost
	CrashOn        string        `json:"crash_on"`         // a body with this id crashes the service
	RestartAfter   time.Duration `json:"restart_after"`    // downtime after a crash, nanoseconds in JSON
	Leaving        bool          `json:"leaving"`          // reports itself as leaving and rejects operations
}

// Run identifies an operation and the id in the body of its request.
type Run struct {
	Operation string
	ID        string
}

// Service is the stand-in. Use Handler to serve it.
type Service struct {
	mu        sync.Mutex
	faults    Faults
	bootID    string
	downUntil time.Time
	running   int
	runs      map[Run]int
	received  int64
	keysSeen  int64
	lastVia   string
}

// New returns a service that has run nothing.
func New() *Service {
	return &Service{bootID: uuid.NewString(), runs: make(map[Run]int)}
}

// SetFaults replaces the injected failures.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each operation ran.
func (s *Service) Runs() map[Run]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Received returns how many requests for operations arrived.
func (s *Service) Received() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// KeysSeen returns how many requests carried a caller's key.
func (s *Service) KeysSeen() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysSeen
}

// LastVia returns the via token of the most recent operation.
func (s *Service) LastVia() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastVia
}

// Handler serves the service's API, and /admin/ for faults and counts.
func (s *Service) Handler() (http.Handler, error) {
	api, err := plainapi.NewServer(s)
	if err != nil {
		return nil, errors.Wrap(err, "plain stand-in")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.intercept(api))
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		counts := make(map[string]int)
		for run, n := range s.Runs() {
			counts[run.Operation+"/"+run.ID] = n
		}
		_ = json.NewEncoder(w).Encode(counts)
	})
	return mux, nil
}

func (s *Service) intercept(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := time.Now().Before(s.downUntil)
		if r.Header.Get("Authorization") != "" {
			s.keysSeen++
		}
		reset := false
		if r.Method == http.MethodPost && !down {
			s.received++
			reset = s.faults.ResetAfterRead > 0
			if reset {
				s.faults.ResetAfterRead--
			}
		}
		s.mu.Unlock()
		if down || reset {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// NewError implements plainapi.Handler.
func (s *Service) NewError(_ context.Context, err error) *plainapi.ErrorStatusCode {
	if errors.Is(err, errLeaving) {
		return &plainapi.ErrorStatusCode{
			StatusCode: http.StatusServiceUnavailable,
			Response:   plainapi.Error{Code: "leaving"},
		}
	}
	return &plainapi.ErrorStatusCode{
		StatusCode: http.StatusUnprocessableEntity,
		Response:   plainapi.Error{Code: "invalid", Message: err.Error()},
	}
}

type requestBody struct {
	ID string `json:"id"`
}

type responseBody struct {
	Operation string `json:"operation"`
	ID        string `json:"id"`
	Account   string `json:"account"`
	Runs      int    `json:"runs"`
}

// RunOperation implements plainapi.Handler.
func (s *Service) RunOperation(ctx context.Context, req plainapi.AnyJSON, p plainapi.RunOperationParams) (plainapi.AnyJSON, error) {
	var in requestBody
	if err := json.Unmarshal(req, &in); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	faults := s.begin(in, p.XVia.Or(""))
	defer s.finish()
	if faults.Leaving {
		return nil, errLeaving
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	count, lose := s.run(Run{p.Operation, in.ID})
	if lose {
		panic(http.ErrAbortHandler)
	}
	return json.Marshal(responseBody{p.Operation, in.ID, p.XAccount, count})
}

var errLeaving = errors.New("leaving")

func (s *Service) begin(in requestBody, via string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVia = via
	if s.faults.CrashOn != "" && s.faults.CrashOn == in.ID {
		s.bootID = uuid.NewString()
		s.downUntil = time.Now().Add(s.faults.RestartAfter)
		panic(http.ErrAbortHandler)
	}
	s.running++
	return s.faults
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) run(r Run) (count int, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r]++
	lose = s.faults.LoseResponses > 0
	if lose {
		s.faults.LoseResponses--
	}
	return s.runs[r], lose
}

// GetHealth implements plainapi.Handler.
func (s *Service) GetHealth(context.Context) (*plainapi.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &plainapi.Health{BootID: s.bootID, Running: s.running, Leaving: s.faults.Leaving}, nil
}
