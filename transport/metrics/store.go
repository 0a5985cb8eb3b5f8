package metrics

import (
	"net/http"
	"strings"
	"time"
)

// resultError is the result of a call that got no response.
const resultError = "error"

// CountStoreCalls wraps the transport of the platform's client, so that each call is counted
// where it is sent: the platform's budget counts calls, whatever their outcome.
func (r *Recorder) CountStoreCalls(next http.RoundTripper) http.RoundTripper {
	return &storeTransport{next: next, recorder: r}
}

type storeTransport struct {
	next     http.RoundTripper
	recorder *Recorder
}

// RoundTrip implements http.RoundTripper.
func (t *storeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	start := time.Now()
	resp, err := t.next.RoundTrip(req)
	call, result := storeCallName(req), resultError
	if err == nil {
		result = statusResult(resp.StatusCode)
	}
	t.recorder.storeCalls.WithLabelValues(call, result).Inc()
	if call != callWatch {
		t.recorder.storeDuration.WithLabelValues(call).Observe(time.Since(start).Seconds())
	}
	return resp, err
}

const (
	callWatch = "get_kv_watch"
	pathKV    = "kv"
)

// storeCallName names a call by its method and path, without the IDs in the path.
func storeCallName(req *http.Request) string {
	parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/")
	parts = parts[min(1, len(parts)):] // without the API version
	if len(parts) > 1 && parts[0] != pathKV {
		parts = parts[:1]
	}
	return strings.ToLower(req.Method) + "_" + strings.Join(parts, "_")
}
