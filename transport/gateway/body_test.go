package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/requests"
)

// endlessBody is a request body without end.
type endlessBody struct{ sent int64 }

func (e *endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	e.sent += int64(len(p))
	return len(p), nil
}

// A body without end must be cut off at the limit: the caller gets a typed refusal and the
// instance's memory stays bounded.
func TestEndlessBodyIsRefused(t *testing.T) {
	documents := catalog.New()
	presented, stored := catalog.NewKey("suva-1")
	documents.Put(document(t, "kind: account\nname: suva\nrate: 1\nburst: 1\nkeys: [{id: "+stored.ID+", sha256: "+stored.SHA256+"}]\n"))
	handler, err := (&Gateway{Catalog: documents, Requests: requests.New(), Entries: noEntries{}, Ready: func() bool { return true }}).Handler()
	if err != nil {
		t.Fatal(err)
	}
	body := &endlessBody{}
	req := httptest.NewRequest(http.MethodPost, "/v1/completions", io.NopCloser(body))
	req.ContentLength = -1
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+presented)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	var got gatewayapi.Refusal
	if err := got.UnmarshalJSON(recorder.Body.Bytes()); err != nil {
		t.Fatal(err)
	}
	if recorder.Code != http.StatusRequestEntityTooLarge || got.Code != string(refusal.CodeTooLarge) {
		t.Errorf("status %d, %+v", recorder.Code, got)
	}
	if body.sent > 2*maxBodyBytes {
		t.Errorf("read %d bytes", body.sent)
	}
}
