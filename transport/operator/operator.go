// Package operator serves the operators' HTTP API: the state dump, the status of the fleet as
// seen by this instance, withdrawal of keys, health, readiness and metrics.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/basilroute/basilroute/protocol/operatorapi"
)

// Instance is what the operators' API needs of the instance.
type Instance interface {
	Dump() any
	Status() *operatorapi.Status
	Withdraw(ctx context.Context, keyID string) (*operatorapi.Withdrawal, error)
	Ready() bool
}

// Handler implements operatorapi.Handler and operatorapi.SecurityHandler.
type Handler struct {
	Instance    Instance
	TokenSHA256 [sha256.Size]byte // of the token that operators present
}

// New returns the HTTP handler of the operators' address.
func New(h *Handler, registry *prometheus.Registry) (http.Handler, error) {
	api, err := operatorapi.NewServer(h, h)
	if err != nil {
		return nil, errors.Wrap(err, "operator API")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Instance.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux, nil
}

var errInvalidToken = errors.New("the operator's token is not valid")

// HandleToken implements operatorapi.SecurityHandler.
func (h *Handler) HandleToken(ctx context.Context, _ operatorapi.OperationName, t operatorapi.Token) (context.Context, error) {
	sum := sha256.Sum256([]byte(t.Token))
	if subtle.ConstantTimeCompare(sum[:], h.TokenSHA256[:]) != 1 {
		return ctx, errInvalidToken
	}
	return ctx, nil
}

// NewError implements operatorapi.Handler.
func (h *Handler) NewError(_ context.Context, err error) *operatorapi.ErrorStatusCode {
	status, code := http.StatusInternalServerError, "internal"
	if errors.Is(err, errInvalidToken) {
		status, code = http.StatusUnauthorized, "unauthorized"
	}
	return &operatorapi.ErrorStatusCode{StatusCode: status, Response: operatorapi.Error{Code: code, Message: err.Error()}}
}

// DumpState implements operatorapi.Handler.
func (h *Handler) DumpState(context.Context) (operatorapi.AnyJSON, error) {
	encoded, err := json.Marshal(h.Instance.Dump())
	return encoded, errors.Wrap(err, "state dump")
}

// GetStatus implements operatorapi.Handler.
func (h *Handler) GetStatus(context.Context) (*operatorapi.Status, error) {
	return h.Instance.Status(), nil
}

// WithdrawKey implements operatorapi.Handler.
func (h *Handler) WithdrawKey(ctx context.Context, p operatorapi.WithdrawKeyParams) (*operatorapi.Withdrawal, error) {
	return h.Instance.Withdraw(ctx, p.ID)
}
