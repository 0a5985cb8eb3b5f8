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

// orderIssuer holds the lease of the local failure domain's orders when no other instance
// does. Only the order loop uses it.
type orderIssuer struct {
	instance *Instance
	leaseID  int64
	lease    orders.Lease
}

// issueOrders brings the engines of the local failure domain to the state that the service
// documents ask for. While no document asks for any, it makes no calls.
func (i *Instance) issueOrders(ctx context.Context) {
	o := &orderIssuer{instance: i}
	every(ctx, orders.RenewInterval, o.runOnce)
	o.release()
}

func (o *orderIssuer) runOnce(ctx context.Context) {
	services := o.servicesWithOrders()
	if len(services) == 0 {
		return
	}
	if err := o.renewOrAcquire(ctx); err != nil {
		o.instance.log.Debug("order lease not held", "error", err)
		return
	}
	if !o.lease.Held(time.Now()) {
		return // another instance holds it
	}
	for _, s := range services {
		o.orderServers(ctx, s)
	}
}

func (o *orderIssuer) servicesWithOrders() []*service.Service {
	var out []*service.Service
	for _, s := range o.instance.catalog.Services() {
		if orders.HasOrders(s) && s.AllowsDomain(o.instance.settings.Region, o.instance.settings.Domain) {
			out = append(out, s)
		}
	}
	return out
}

// renewOrAcquire renews the lease, or acquires it when it is free. The key is bound to the
// store's lease, so a holder that was paused for long finds it gone.
func (o *orderIssuer) renewOrAcquire(ctx context.Context) error {
	sentAt := time.Now()
	if o.lease.Epoch > 0 {
		err := o.instance.platform.KeepAlive(ctx, o.leaseID)
		if err == nil {
			o.lease = orders.NewLease(o.lease.Epoch, sentAt)
			return nil
		}
		if !errors.Is(err, platform.ErrLeaseNotFound) {
			return err // the lease is valid until it expires
		}
		o.lease = orders.Lease{}
	}
	return o.acquire(ctx)
}

func (o *orderIssuer) acquire(ctx context.Context) error {
	key := orders.Key(o.instance.settings.Domain)
	_, err := o.instance.platform.Get(ctx, key)
	if !errors.Is(err, platform.ErrNotFound) {
		return err // another instance holds it, or the store does not respond
	}
	sentAt := time.Now()
	lease, err := o.instance.platform.Grant(ctx, orders.LeaseTTL)
	if err != nil {
		return err
	}
	epoch, err := o.instance.platform.Put(ctx, platform.Write{Key: key, Value: []byte(o.instance.settings.ID), Lease: lease})
	if err != nil {
		return err
	}
	o.leaseID, o.lease = lease, orders.NewLease(epoch, sentAt)
	o.instance.log.Info("order lease acquired", "epoch", epoch)
	return nil
}

func (o *orderIssuer) orderServers(ctx context.Context, s *service.Service) {
	for _, server := range o.instance.servers.ByService(s.Name) {
		if ctx.Err() == nil && server.Listed {
			o.orderServer(ctx, s, server)
		}
	}
}

// orderServer compares a server's state with its document and sends an order for the
// difference. The next run shows whether the server complied.
func (o *orderIssuer) orderServer(ctx context.Context, s *service.Service, server servers.Server) {
	state, err := o.instance.backend.EngineState(ctx, server.Address)
	if err != nil {
		return
	}
	order, ok := orders.Next(s, server.ID, state, o.lease, time.Now())
	if !ok {
		return
	}
	err = o.instance.backend.Order(ctx, server.Address, order)
	o.instance.log.Info("order sent", "server", server.ID, "version", order.Version, "draining", order.Draining,
		"epoch", order.Fencing, "error", err)
}

// release returns the lease at a graceful shutdown.
func (o *orderIssuer) release() {
	if o.lease.Epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orders.Timeout)
	defer cancel()
	_ = o.instance.platform.Revoke(ctx, o.leaseID) // on failure the lease expires by itself
}
