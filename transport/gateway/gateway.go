// Package gateway serves callers over HTTP: it checks the key, enforces the limits of the
// request, runs it and writes the response in one piece or as server-sent events. Every
// refusal is typed.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/coordination/via"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/requests"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/httpstream"
	"github.com/basilroute/basilroute/transport/metrics"
)

const (
	maxBodyBytes = 64 << 20
	// defaultMaxTokens bounds the output of a request that sets no max_tokens.
	defaultMaxTokens = 256
	entriesTTL       = 10 * time.Second
)

// Runner runs a caller's request.
type Runner interface {
	Run(ctx context.Context, account *service.Account, w *dispatch.Work, sink dispatch.Sink) error
}

// Entries ranks the instances that a client account should use.
type Entries interface {
	Entries(account *service.Account) []gatewayapi.Entry
}

// Gateway implements gatewayapi.Handler and gatewayapi.SecurityHandler.
type Gateway struct {
	Catalog  *catalog.Catalog
	Requests *requests.Table
	Runner   Runner
	Entries  Entries
	Ready    func() bool
	Metrics  *metrics.Recorder // may be nil
	Via      *via.Signer
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() (http.Handler, error) {
	api, err := gatewayapi.NewServer(g, g,
		gatewayapi.WithErrorHandler(g.writeError),
		gatewayapi.WithNotFound(g.notFound),
		gatewayapi.WithMethodNotAllowed(g.methodNotAllowed))
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	return limitBody(g.countOutcomes(httpstream.FlushHandler(api))), nil
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

type callerKey struct{}

type caller struct {
	account *service.Account
	keyID   string
}

// HandleKey implements gatewayapi.SecurityHandler.
func (g *Gateway) HandleKey(ctx context.Context, _ gatewayapi.OperationName, key gatewayapi.Key) (context.Context, error) {
	if !g.Ready() {
		return ctx, refusal.New(refusal.CodeNotReady, "this instance does not have its configuration yet").WithRetryAfter(time.Second)
	}
	account, id, state := g.Catalog.CheckKey(key.Token)
	switch state {
	case catalog.KeyValid:
		return context.WithValue(ctx, callerKey{}, caller{account, id}), nil
	case catalog.KeyWithdrawn:
		return ctx, refusal.New(refusal.CodeWithdrawn, "the key was withdrawn")
	}
	return ctx, refusal.New(refusal.CodeUnauthorized, "the key is not known")
}

func callerOf(ctx context.Context) caller {
	return ctx.Value(callerKey{}).(caller) // HandleKey ran before every operation
}

func classOf(c gatewayapi.OptClass) service.Class {
	return service.Class(c.Or(gatewayapi.ClassInteractive))
}

// newWork sets the fields that generations and operations share.
func (g *Gateway) newWork(ctx context.Context, svc *service.Service, class service.Class, incomingVia string) (*dispatch.Work, error) {
	c := callerOf(ctx)
	settings := svc.Class(class)
	id := uuid.NewString()
	via, refused := g.Via.Extend(incomingVia, id, svc.Name)
	if refused != nil {
		return nil, refused
	}
	return &dispatch.Work{
		RequestID: id, Account: c.account.Name, KeyID: c.keyID, Home: c.account.Home,
		Service: svc.Name, Class: class, Via: via,
		Deadline: time.Now().Add(settings.Deadline), MaxWait: settings.MaxWait,
	}, nil
}

func (g *Gateway) lookup(name string, want service.Type) (*service.Service, error) {
	svc := g.Catalog.Service(name)
	if svc == nil || svc.Type != want {
		return nil, refusal.New(refusal.CodeNotFound, "no %s service %q", want, name)
	}
	return svc, nil
}

// checkedGeneration returns a generation after checking its size against the service's limits.
func checkedGeneration(svc *service.Service, prompt string, maxTokens gatewayapi.OptInt) (*dispatch.Generation, error) {
	if n := tokens.Estimate(prompt); int64(n) > svc.Limits.PromptTokens {
		return nil, refusal.New(refusal.CodeTooLarge, "the prompt has about %d tokens, the limit is %d", n, svc.Limits.PromptTokens)
	}
	limit := int(svc.Limits.OutputTokens)
	want := maxTokens.Or(min(defaultMaxTokens, limit))
	if want > limit {
		return nil, refusal.New(refusal.CodeInvalid, "max_tokens is %d, the limit is %d", want, limit)
	}
	return &dispatch.Generation{Prompt: prompt, MaxTokens: want}, nil
}

// ListEntries implements gatewayapi.Handler.
func (g *Gateway) ListEntries(ctx context.Context) (*gatewayapi.Entries, error) {
	return &gatewayapi.Entries{
		Entries: g.Entries.Entries(callerOf(ctx).account),
		TTLMs:   entriesTTL.Milliseconds(),
	}, nil
}

func idempotencyKey(p gatewayapi.CallOperationParams) string {
	if id, ok := p.IdempotencyKey.Get(); ok {
		return id.String()
	}
	return ""
}

// CallOperation implements gatewayapi.Handler.
func (g *Gateway) CallOperation(ctx context.Context, body gatewayapi.AnyJSON, p gatewayapi.CallOperationParams) (gatewayapi.AnyJSON, error) {
	svc, err := g.lookup(p.Service, service.TypePlain)
	if err != nil {
		return nil, err
	}
	if _, ok := svc.Operations[p.Operation]; !ok {
		return nil, refusal.New(refusal.CodeNotFound, "service %q has no operation %q", p.Service, p.Operation)
	}
	if int64(len(body)) > svc.Limits.BodyBytes {
		return nil, refusal.New(refusal.CodeTooLarge, "the body has %d bytes, the limit is %d", len(body), svc.Limits.BodyBytes)
	}
	w, err := g.newWork(ctx, svc, classOf(p.XRequestClass), p.XVia.Or(""))
	if err != nil {
		return nil, err
	}
	w.Operation = &dispatch.Operation{Name: p.Operation, Body: body, IdempotencyKey: idempotencyKey(p)}
	response := &bufferedSink{}
	if err := g.run(ctx, w, response); err != nil {
		return nil, err
	}
	return response.body, nil
}

// run registers the request under its key and runs it.
func (g *Gateway) run(ctx context.Context, w *dispatch.Work, sink dispatch.Sink) error {
	c := callerOf(ctx)
	ctx, request, ok := g.Requests.Begin(ctx, c.keyID)
	if !ok {
		return refusal.New(refusal.CodeLeaving, "this instance stops").WithRetryAfter(time.Second)
	}
	defer g.Requests.End(request)
	if !g.Catalog.Usable(c.keyID) { // withdrawn between the check and the registration
		return refusal.New(refusal.CodeWithdrawn, "the key was withdrawn")
	}
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	if err := g.observe(ctx, c.account, w, sink); err != nil {
		return err
	}
	return checkComplete(sink)
}
