package instance

import (
	"context"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	pushBytes  = 64 << 10  // of documents in an ordinary exchange
	fetchBytes = 512 << 10 // of documents in an answer to a peer that lacks many
)

// addConfig says what is known here, and pushes what the peer was last heard to
// lack when that is little.
func (i *Instance) addConfig(req *peerpb.ExchangeRequest, peer *peerpb.Member) {
	req.ConfigRevision, req.DocumentsHash, req.Ready = i.config.Revision(), i.config.Hash(), i.Ready()
	if peer == nil || peer.GetConfigRevision() == 0 {
		return // a new instance asks for all of it itself
	}
	batch, more := i.config.Since(peer.GetConfigRevision(), pushBytes)
	if !more {
		req.Documents, req.DocumentsAfter = encodeDocuments(batch.Documents), batch.After
	}
}

// takePushed takes in the documents of a request.
func (i *Instance) takePushed(req *peerpb.ExchangeRequest) {
	if len(req.GetDocuments()) == 0 {
		return
	}
	i.offer("peer", configwatch.Batch{
		Documents: decodeDocuments(req.GetDocuments()), After: req.GetDocumentsAfter(), UpTo: req.GetConfigRevision(),
	})
}

// answerConfig adds the documents that the asking peer lacks. What differs
// between equal revisions is found by the hashes of the parts.
func (i *Instance) answerConfig(req *peerpb.ExchangeRequest, resp *peerpb.ExchangeResponse) {
	if len(req.GetDocumentBuckets()) > 0 {
		batch := i.config.Differing(req.GetDocumentBuckets(), fetchBytes)
		resp.Documents = encodeDocuments(batch.Documents)
		return
	}
	limit := pushBytes
	if req.GetView() == nil {
		limit = fetchBytes
	}
	batch, more := i.config.Since(req.GetConfigRevision(), limit)
	resp.Documents, resp.DocumentsAfter, resp.ConfigRevision = encodeDocuments(batch.Documents), batch.After, batch.UpTo
	if len(batch.Documents) == 0 {
		resp.ConfigRevision = i.config.Revision()
	}
	resp.More, resp.DocumentsHash, resp.Ready = more, i.config.Hash(), i.Ready()
}

// finishConfig takes in the peer's documents and adds to the follow-up what the
// peer lacks, or the question what differs.
func (i *Instance) finishConfig(resp *peerpb.ExchangeResponse, next *peerpb.ExchangeRequest) *peerpb.ExchangeRequest {
	if len(resp.GetDocuments()) > 0 {
		i.offer("peer", batchOf(resp))
	}
	own := i.config.Revision()
	if resp.GetMore() || own < resp.GetConfigRevision() {
		return next
	}
	if own == resp.GetConfigRevision() && i.config.Hash() == resp.GetDocumentsHash() {
		i.noteSynced(resp)
		return next
	}
	if next == nil {
		next = &peerpb.ExchangeRequest{From: i.settings.ID}
	}
	switch {
	case own == resp.GetConfigRevision():
		next.DocumentBuckets = i.config.Buckets()
	case resp.GetConfigRevision() > 0:
		batch, more := i.config.Since(resp.GetConfigRevision(), pushBytes)
		if !more {
			next.Documents, next.DocumentsAfter = encodeDocuments(batch.Documents), batch.After
		}
	}
	return next
}

// noteSynced remembers that a peer that takes callers knows the same.
func (i *Instance) noteSynced(resp *peerpb.ExchangeResponse) {
	if resp.GetReady() && i.synced.CompareAndSwap(false, true) {
		i.checkReady("peer")
	}
}

// takeDifferent takes in the answer to the question what differs.
func (i *Instance) takeDifferent(resp *peerpb.ExchangeResponse) {
	if len(resp.GetDocuments()) > 0 {
		i.offer("peer", batchOf(resp))
	}
}

func batchOf(resp *peerpb.ExchangeResponse) configwatch.Batch {
	return configwatch.Batch{
		Documents: decodeDocuments(resp.GetDocuments()), After: resp.GetDocumentsAfter(), UpTo: resp.GetConfigRevision(),
	}
}

// fetchConfig reads the documents that an exchange had no room for. Only one
// peer is asked at a time.
func (i *Instance) fetchConfig(ctx context.Context, client peerpb.PeerClient) {
	if !i.fetching.CompareAndSwap(false, true) {
		return
	}
	defer i.fetching.Store(false)
	for {
		resp, err := client.Exchange(ctx, &peerpb.ExchangeRequest{From: i.settings.ID, ConfigRevision: i.config.Revision()})
		if err != nil || len(resp.GetDocuments()) == 0 {
			return
		}
		i.offer("peer", batchOf(resp))
		if !resp.GetMore() {
			return
		}
	}
}

func encodeDocuments(documents []configwatch.Document) []*peerpb.Document {
	out := make([]*peerpb.Document, len(documents))
	for n, d := range documents {
		out[n] = &peerpb.Document{Key: d.Key, Revision: d.Revision, Value: d.Value, Deleted: d.Deleted, Nonce: d.Nonce}
	}
	return out
}

func decodeDocuments(documents []*peerpb.Document) []configwatch.Document {
	out := make([]configwatch.Document, len(documents))
	for n, d := range documents {
		out[n] = configwatch.Document{
			Key: d.GetKey(), Revision: d.GetRevision(), Value: d.GetValue(), Deleted: d.GetDeleted(), Nonce: d.GetNonce(),
		}
	}
	return out
}
