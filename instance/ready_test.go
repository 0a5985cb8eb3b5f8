package instance

import (
	"log/slog"
	"testing"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

func newTestInstance(t *testing.T) *Instance {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	plain := TLS{PlainText: true}
	s := DefaultSettings()
	s.ID, s.Region, s.Domain, s.Platform.URL = "a", "north", "north-1", "http://127.0.0.1:1"
	s.Callers, s.Peers = Listener{Listen: anyPort, TLS: plain}, Listener{Listen: anyPort, TLS: plain}
	s.Operator = Operator{Listen: anyPort, TLS: plain}
	i, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.closeListeners)
	return i
}

func oneAccount() configwatch.Batch {
	return configwatch.Batch{UpTo: 1, Documents: []configwatch.Document{
		{Key: "config/account/a", Revision: 1, Value: accountVersion("a", 1)},
	}}
}

// An instance starts while the store is down, and a peer sends it the documents. A key that
// was withdrawn during the outage may be missing from them: the instance must accept no
// callers until a peer that accepts callers has the same documents.
func TestNotReadyBeforeAPeerHasTheSameDocuments(t *testing.T) {
	i := newTestInstance(t)
	i.offer("peer", oneAccount())
	if i.Ready() {
		t.Fatal("ready without the withdrawn keys")
	}
	same := &peerpb.ExchangeResponse{ConfigRevision: 1, DocumentsHash: i.config.Hash()}
	i.applyConfigResponse(same, nil)
	if i.Ready() {
		t.Fatal("ready by a peer that is not ready itself")
	}
	same.Ready, same.DocumentsHash = true, same.DocumentsHash+1
	if next := i.applyConfigResponse(same, nil); i.Ready() || len(next.GetDocumentBuckets()) == 0 {
		t.Fatal("ready by a peer with other documents, or not requesting them")
	}
	same.DocumentsHash = i.config.Hash()
	i.applyConfigResponse(same, nil)
	if !i.Ready() {
		t.Error("not ready")
	}
}

// An instance starts when the store is back, and has read it. A withdrawal from the outage
// may not have reached the store yet, so the peers have to be queried first.
func TestNotReadyBeforeThePeersWereQueried(t *testing.T) {
	i := newTestInstance(t)
	i.offerFromStore(oneAccount())
	if i.Ready() {
		t.Fatal("ready before the peers were queried")
	}
	i.peersQueried.Store(true)
	i.checkReady("peers")
	if !i.Ready() {
		t.Error("not ready")
	}
}

// A request is forwarded under a key that was just issued: the receiving instance, whose
// configuration lags, waits for the configuration and then runs it. A key that is unknown
// although the configuration does not lag is refused, and so is a withdrawn one.
func TestForwardedKeyWaitsForTheConfiguration(t *testing.T) {
	i := newTestInstance(t)
	batch := oneAccount()
	batch.Documents[0].Value = append(batch.Documents[0].Value,
		"keys:\n  - {id: k, sha256: '0000000000000000000000000000000000000000000000000000000000000000'}\n"...)
	refused := make(chan error, 1)
	go func() {
		if r := i.checkForwarded(t.Context(), &dispatch.Work{KeyID: "k", ConfigRevision: 1}); r != nil {
			refused <- r
		}
		close(refused)
	}()
	i.offer("peer", batch)
	if err := <-refused; err != nil {
		t.Errorf("the new key: %v", err)
	}
	if r := i.checkForwarded(t.Context(), &dispatch.Work{KeyID: "other", ConfigRevision: 1}); r == nil || r.Code != "unauthorized" {
		t.Errorf("an unknown key: %v", r)
	}
	i.config.Withdraw("k", "")
	if r := i.checkForwarded(t.Context(), &dispatch.Work{KeyID: "k", ConfigRevision: 2}); r == nil || r.Code != "key_withdrawn" {
		t.Errorf("a withdrawn key: %v", r)
	}
}

// A key is withdrawn while a forwarded request runs, and the withdrawal reaches this
// instance first. The forwarding instance must get the reason: with the error of a broken
// server it would retry the request.
func TestForwardedRequestReportsWhyItWasCancelled(t *testing.T) {
	i := newTestInstance(t)
	ctx, request, _ := i.forwarded.Begin(t.Context(), "k")
	defer i.forwarded.End(request)
	broken := refusal.New(refusal.CodeBackendFailed, "the stream broke").WithRunState(refusal.RunUnknown)
	if got := refusal.FromError(cancelReasonOr(ctx, broken)); got.Code != refusal.CodeBackendFailed {
		t.Errorf("before the withdrawal: %v", got)
	}
	i.config.Withdraw("k", "")
	if got := refusal.FromError(cancelReasonOr(ctx, broken)); got.Code != refusal.CodeWithdrawn || got.RunState != refusal.RunUnknown {
		t.Errorf("after the withdrawal: %v", got)
	}
	if cancelReasonOr(ctx, nil) != nil {
		t.Error("a complete response was turned into a refusal")
	}
}
