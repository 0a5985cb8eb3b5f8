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

// An instance starts while the store is down, and a peer hands it the documents.
// A key that was withdrawn in the outage is not among them: until a peer that
// takes callers knows the same as it does, it must take none.
func TestNotReadyBeforeAPeerKnowsTheSame(t *testing.T) {
	i := newTestInstance(t)
	i.offer("peer", oneAccount())
	if i.Ready() {
		t.Fatal("ready without the withdrawn keys")
	}
	same := &peerpb.ExchangeResponse{ConfigRevision: 1, DocumentsHash: i.config.Hash()}
	i.finishConfig(same, nil)
	if i.Ready() {
		t.Fatal("ready by a peer that is not ready itself")
	}
	same.Ready, same.DocumentsHash = true, same.DocumentsHash+1
	if next := i.finishConfig(same, nil); i.Ready() || len(next.GetDocumentBuckets()) == 0 {
		t.Fatal("ready by a peer that knows more, or not asking it")
	}
	same.DocumentsHash = i.config.Hash()
	i.finishConfig(same, nil)
	if !i.Ready() {
		t.Error("not ready")
	}
}

// An instance starts when the store is back, and has read it. A withdrawal from
// the outage may still be on its way there, so the peers are asked first.
func TestNotReadyBeforeThePeersWereAsked(t *testing.T) {
	i := newTestInstance(t)
	i.offerStored(oneAccount())
	if i.Ready() {
		t.Fatal("ready before the peers were asked")
	}
	i.peersAsked.Store(true)
	i.checkReady("peers")
	if !i.Ready() {
		t.Error("not ready")
	}
}

// A request is forwarded here under a key that was issued a moment ago: this
// instance, which lags, waits for the configuration and then runs it. A key that
// it does not know although it lags behind nobody is refused, as is a withdrawn
// one.
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

// A key is withdrawn while a forwarded request runs here, and this instance hears
// of it first. The first instance must get the reason: for a broken server it
// would try the request again.
func TestForwardedRequestTellsWhyItWasCut(t *testing.T) {
	i := newTestInstance(t)
	ctx, request, _ := i.forwarded.Begin(t.Context(), "k")
	defer i.forwarded.End(request)
	broken := refusal.New(refusal.CodeBackendFailed, "the stream broke").WithRun(refusal.Unknown)
	if got := refusal.From(cutBy(ctx, broken)); got.Code != refusal.CodeBackendFailed {
		t.Errorf("before the withdrawal: %v", got)
	}
	i.config.Withdraw("k", "")
	if got := refusal.From(cutBy(ctx, broken)); got.Code != refusal.CodeWithdrawn || got.Run != refusal.Unknown {
		t.Errorf("after the withdrawal: %v", got)
	}
	if cutBy(ctx, nil) != nil {
		t.Error("a whole answer was turned into a refusal")
	}
}
