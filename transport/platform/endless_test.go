package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httpbound"
	"github.com/basilroute/basilroute/transport/platform"
)

// Guards against a platform whose responses have no end, and that take the memory of the instance.
func TestPlatformWhoseResponsesHaveNoEnd(t *testing.T) {
	const (
		calls       = 4 // at a time: documents, marks, orders and the list of instances
		limit       = 20 * time.Second
		memoryLimit = 256 << 20
	)
	block := []byte(strings.Repeat(" ", 64<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client, err := platform.New(settings(server.URL), backendhttp.NewRoundTripper(backendhttp.Settings{}, nil))
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			if _, _, err := client.List(ctx, "services/", 0); !errors.Is(err, httpbound.ErrTooLarge) {
				t.Errorf("error %v, want that the response is too large", err)
			}
		})
	}
	running.Wait()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapSys) - int64(before.HeapSys); grown > memoryLimit {
		t.Errorf("memory grew by %d MB", grown>>20)
	}
}
