package backend

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// CacheEvents returns the cache events of an engine after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]prefix.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	api, err := engineapi.NewClient(address, engineapi.WithClient(c.control))
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	list, err := api.CacheEvents(ctx, engineapi.CacheEventsParams{After: engineapi.NewOptInt64(after)})
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	events := make([]prefix.Event, 0, len(list))
	for _, e := range list {
		block, err := tokens.ParseBlock(e.Block)
		if err != nil {
			return nil, errors.Wrap(err, "cache events")
		}
		events = append(events, prefix.Event{Seq: e.Seq, Evicted: e.Kind == engineapi.CacheEventKindEvicted, Block: block})
	}
	return events, nil
}
