package backend

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/orders"
	"github.com/basilroute/basilroute/protocol/engineapi"
)

// EngineState returns the last order that an engine applied.
func (c *Client) EngineState(ctx context.Context, address string) (orders.State, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	api, err := engineapi.NewClient(address, engineapi.WithClient(c.control))
	if err != nil {
		return orders.State{}, errors.Wrap(err, "engine state")
	}
	state, err := api.GetOrders(ctx)
	if err != nil {
		return orders.State{}, errors.Wrap(err, "engine state")
	}
	return orders.State{Fencing: state.Fencing, Version: state.Version, Draining: state.Draining}, nil
}

// Order sends an order to an engine.
func (c *Client) Order(ctx context.Context, address string, order orders.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orders.Timeout)
	defer cancel()
	api, err := engineapi.NewClient(address, engineapi.WithClient(c.control))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	_, err = api.Order(ctx, &engineapi.Order{Fencing: order.Fencing, Version: order.Version, Draining: order.Draining})
	return errors.Wrap(err, "order")
}
