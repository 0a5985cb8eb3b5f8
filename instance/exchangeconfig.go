package instance

import (
	"context"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	maxPushBytes  = 64 << 10  // of documents in an ordinary exchange
	maxFetchBytes = 512 << 10 // of documents in a response to a peer that lacks many
)

// addConfigToRequest adds the local state of the configuration. It pushes the documents
// that the peer lacked at its last report if they fit into maxPushBytes.
func (i *Instance) addConfigToRequest(req *peerpb.ExchangeRequest, peer *peerpb.Member) {
	req.ConfigRevision, req.DocumentsHash, req.Ready = i.config.Revision(), i.config.Hash(), i.Ready()
	if peer == nil || peer.GetConfigRevision() == 0 {
		return // a joining instance requests all documents itself
	}
	batch, more := i.config.Since(peer.GetConfigRevision(), maxPushBytes)
	if !more {
		req.Documents, req.DocumentsAfter = encodeDocuments(batch.Documents), batch.After
	}
}

// applyPushedDocuments applies the documents of a request.
func (i *Instance) applyPushedDocuments(req *peerpb.ExchangeRequest) {
	if len(req.GetDocuments()) == 0 {
		return
	}
	i.offer("peer", configwatch.Batch{
		Documents: decodeDocuments(req.GetDocuments()), After: req.GetDocumentsAfter(), UpTo: req.GetConfigRevision(),
	})
}

// addConfigToResponse adds the documents that the requesting peer lacks. At equal revisions
// the differing documents are found by the hashes of the document buckets.
func (i *Instance) addConfigToResponse(req *peerpb.ExchangeRequest, resp *peerpb.ExchangeResponse) {
	if len(req.GetDocumentBuckets()) > 0 {
		batch := i.config.Differing(req.GetDocumentBuckets(), maxFetchBytes)
		resp.Documents = encodeDocuments(batch.Documents)
		return
	}
	limit := maxPushBytes
	if req.GetView() == nil {
		limit = maxFetchBytes
	}
	batch, more := i.config.Since(req.GetConfigRevision(), limit)
	resp.Documents, resp.DocumentsAfter, resp.ConfigRevision = encodeDocuments(batch.Documents), batch.After, batch.UpTo
	if len(batch.Documents) == 0 {
		resp.ConfigRevision = i.config.Revision()
	}
	resp.More, resp.DocumentsHash, resp.Ready = more, i.config.Hash(), i.Ready()
}

// applyConfigResponse applies the peer's documents. It adds to the follow-up request the
// documents that the peer lacks, or, at equal revisions, the bucket hashes by which the
// peer finds what differs.
func (i *Instance) applyConfigResponse(resp *peerpb.ExchangeResponse, next *peerpb.ExchangeRequest) *peerpb.ExchangeRequest {
	if len(resp.GetDocuments()) > 0 {
		i.offer("peer", responseBatch(resp))
	}
	revision := i.config.Revision()
	if resp.GetMore() || revision < resp.GetConfigRevision() {
		return next
	}
	if revision == resp.GetConfigRevision() && i.config.Hash() == resp.GetDocumentsHash() {
		i.markSynced(resp)
		return next
	}
	if next == nil {
		next = &peerpb.ExchangeRequest{From: i.settings.ID}
	}
	switch {
	case revision == resp.GetConfigRevision():
		next.DocumentBuckets = i.config.Buckets()
	case resp.GetConfigRevision() > 0:
		batch, more := i.config.Since(resp.GetConfigRevision(), maxPushBytes)
		if !more {
			next.Documents, next.DocumentsAfter = encodeDocuments(batch.Documents), batch.After
		}
	}
	return next
}

// markSynced records that a peer that accepts callers has the same documents.
func (i *Instance) markSynced(resp *peerpb.ExchangeResponse) {
	if resp.GetReady() && i.synced.CompareAndSwap(false, true) {
		i.checkReady("peer")
	}
}

// applyDifferingDocuments applies the response to a request that carried bucket hashes.
func (i *Instance) applyDifferingDocuments(resp *peerpb.ExchangeResponse) {
	if len(resp.GetDocuments()) > 0 {
		i.offer("peer", responseBatch(resp))
	}
}

func responseBatch(resp *peerpb.ExchangeResponse) configwatch.Batch {
	return configwatch.Batch{
		Documents: decodeDocuments(resp.GetDocuments()), After: resp.GetDocumentsAfter(), UpTo: resp.GetConfigRevision(),
	}
}

// fetchConfig reads the documents that did not fit into an exchange. It reads from one peer
// at a time.
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
		i.offer("peer", responseBatch(resp))
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
