package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/orders"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/platform"
)

// orderer holds the lease of the own failure domain's orders when no other
// instance does. Only the order loop uses it.
type orderer struct {
	instance *Instance
	leaseID  int64
	lease    orders.Lease
}

// issueOrders brings the engines of the own failure domain to what the service
// documents want. Without a document that wants anything it calls nobody.
func (i *Instance) issueOrders(ctx context.Context) {
	o := &orderer{instance: i}
	every(ctx, orders.RenewInterval, o.turn)
	o.release()
}

func (o *orderer) turn(ctx context.Context) {
	wanted := o.wanted()
	if len(wanted) == 0 {
		return
	}
	if err := o.hold(ctx); err != nil {
		o.instance.log.Debug("orders not held", "error", err)
		return
	}
	if !o.lease.Held(time.Now()) {
		return // another instance holds it
	}
	for _, s := range wanted {
		o.orderAll(ctx, s)
	}
}

func (o *orderer) wanted() []*service.Service {
	var out []*service.Service
	for _, s := range o.instance.catalog.Services() {
		if orders.HasOrders(s) && s.AllowsDomain(o.instance.settings.Region, o.instance.settings.Domain) {
			out = append(out, s)
		}
	}
	return out
}

// hold renews the lease, or takes it when it is free. The key goes with the
// store's lease, so a holder that was paused for long finds it gone.
func (o *orderer) hold(ctx context.Context) error {
	asked := time.Now()
	if o.lease.Epoch > 0 {
		err := o.instance.platform.KeepAlive(ctx, o.leaseID)
		if err == nil {
			o.lease = orders.NewLease(o.lease.Epoch, asked)
			return nil
		}
		if !errors.Is(err, platform.ErrLeaseNotFound) {
			return err // what is left of the lease still counts
		}
		o.lease = orders.Lease{}
	}
	return o.take(ctx)
}

func (o *orderer) take(ctx context.Context) error {
	key := orders.Key(o.instance.settings.Domain)
	_, err := o.instance.platform.Get(ctx, key)
	if !errors.Is(err, platform.ErrNotFound) {
		return err // another holds it, or the store does not answer
	}
	asked := time.Now()
	lease, err := o.instance.platform.Grant(ctx, orders.LeaseTTL)
	if err != nil {
		return err
	}
	epoch, err := o.instance.platform.Put(ctx, platform.Write{Key: key, Value: []byte(o.instance.settings.ID), Lease: lease})
	if err != nil {
		return err
	}
	o.leaseID, o.lease = lease, orders.NewLease(epoch, asked)
	o.instance.log.Info("orders taken", "epoch", epoch)
	return nil
}

func (o *orderer) orderAll(ctx context.Context, s *service.Service) {
	for _, server := range o.instance.servers.ByService(s.Name) {
		if ctx.Err() == nil && server.Listed {
			o.order(ctx, s, server)
		}
	}
}

// order compares one server with its document, and sends the difference.
// Whether it was obeyed shows in the next turn.
func (o *orderer) order(ctx context.Context, s *service.Service, server servers.Server) {
	have, err := o.instance.backend.EngineState(ctx, server.Address)
	if err != nil {
		return
	}
	order, ok := orders.Next(s, server.ID, have, o.lease, time.Now())
	if !ok {
		return
	}
	err = o.instance.backend.Order(ctx, server.Address, order)
	o.instance.log.Info("ordered", "server", server.ID, "version", order.Version, "draining", order.Draining,
		"epoch", order.Fencing, "error", err)
}

// release hands the lease back at a planned stop.
func (o *orderer) release() {
	if o.lease.Epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orders.Timeout)
	defer cancel()
	_ = o.instance.platform.Revoke(ctx, o.leaseID) // it ends by itself
}
