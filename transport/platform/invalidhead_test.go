package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/platform"
)

// Guards against a response of the platform with an invalid head that is taken for a value or for a lease that was renewed.
func TestInvalidHeadOfThePlatformIsNoAnswer(t *testing.T) {
	const fields = "Content-Type: application/json\r\nA B: x\r\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 40\r\n\r\n"+`{"key":"k","value":"eA==","revision": 70}`)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n"+fields+"\r\n")
	}))
	defer server.Close()
	client, err := platform.New(settings(server.URL), backendhttp.NewRoundTripper(backendhttp.Settings{}, nil))
	if err != nil {
		t.Fatal(err)
	}
	if found, err := client.Get(t.Context(), "k"); !errors.Is(err, backendhttp.ErrMalformed) {
		t.Errorf("value %+v, %v", found, err)
	}
	if err := client.KeepAlive(t.Context(), 1); !errors.Is(err, backendhttp.ErrMalformed) {
		t.Errorf("renewal: %v", err)
	}
}
