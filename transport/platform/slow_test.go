package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/standin/link"
	standin "github.com/basilroute/basilroute/standin/platform"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/platform"
)

// Guards against a list of documents that never arrives because it takes longer than the
// timeout of a call.
func TestManyDocumentsArriveOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, documents, size = 256 << 10, 300, 4 << 10
		server := standin.New()
		defer server.Close()
		handler, err := server.Handler()
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork()
		instance, store := network.Add("instance", rate), network.Add("store:80", 100*rate)
		httpServer := &http.Server{Handler: handler}
		go func() { _ = httpServer.Serve(store) }()
		transport := backendhttp.NewRoundTripper(backendhttp.Settings{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return instance.Dial(ctx, address)
		}}, nil)
		defer func() {
			_ = httpServer.Close()
			transport.CloseIdleConnections()
		}()
		client, err := platform.New(platform.Settings{
			URL: "http://store:80", CallTimeout: time.Second, CallRate: 1e6, CallBurst: 1e6,
		}, transport)
		if err != nil {
			t.Fatal(err)
		}
		for i := range documents {
			if _, err := client.Put(t.Context(), platform.Write{Key: fmt.Sprint("config/", i), Value: make([]byte, size)}); err != nil {
				t.Fatal(err)
			}
		}
		found, _, err := client.List(t.Context(), "config/", 0)
		if err != nil || len(found) != documents {
			t.Errorf("%d documents, %v", len(found), err)
		}
	})
}
