package refusal

import (
	"net/http"
	"testing"
)

// Guards against a status that promises "not run" for a request that may have run.
func TestStatusPromisesNoMoreThanTheRunState(t *testing.T) {
	for code := range httpStatuses {
		for _, run := range []RunState{RunUnknown, Ran} {
			switch status := New(code, "").WithRunState(run).Status(); status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				t.Errorf("%s with run state %s has status %d", code, run, status)
			}
		}
		if status := New(code, "").Status(); status != httpStatuses[code] {
			t.Errorf("%s, not run, has status %d, want %d", code, status, httpStatuses[code])
		}
	}
}
