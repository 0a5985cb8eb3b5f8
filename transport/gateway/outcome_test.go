package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/metrics"
	"github.com/basilroute/basilroute/transport/outcome"
)

// runnerFunc is a Runner of one function.
type runnerFunc func(ctx context.Context, sink dispatch.Sink) error

func (f runnerFunc) Run(ctx context.Context, _ *service.Account, _ *dispatch.Work, sink dispatch.Sink) error {
	return f(ctx, sink)
}

// Guards against a request that was read whole and that no count accounts for, and against one that is
// counted as something else than what its caller saw.
func TestOutcomes(t *testing.T) {
	whole := func(_ context.Context, sink dispatch.Sink) error {
		return sink.Frame("engine", &frame.Frame{Tokens: 1, Text: "a", Finish: "stop"})
	}
	refuse := func(code refusal.Code, run refusal.RunState, begins bool) runnerFunc {
		return func(_ context.Context, sink dispatch.Sink) error {
			if begins {
				if err := sink.Frame("engine", &frame.Frame{Tokens: 1, Text: "a"}); err != nil {
					return err
				}
			}
			return refusal.New(code, "ended").WithRunState(run)
		}
	}
	leave := func(begins bool) runnerFunc {
		return func(ctx context.Context, sink dispatch.Sink) error {
			if begins {
				_ = sink.Frame("engine", &frame.Frame{Tokens: 1, Text: "a"}) // the caller leaves when it has read it
			}
			<-ctx.Done()
			return refusal.New(refusal.CodeIncomplete, "the caller went away").WithRunState(refusal.Ran)
		}
	}
	cut := func(by string) outcome.Ending { return outcome.Ending{Outcome: outcome.Cut, By: by} }
	refused := func(by refusal.Code) outcome.Ending {
		return outcome.Ending{Outcome: outcome.Refused, By: string(by)}
	}
	answered := outcome.Ending{Outcome: outcome.Answered, By: outcome.ByNothing}
	gone := outcome.Ending{Outcome: outcome.CallerGone, By: outcome.ByClose}
	for _, tc := range []struct {
		name   string
		runner runnerFunc
		body   string // that replaces a sound one
		leaves bool
		begins bool // it leaves a stream when it has read its first event
		whole  outcome.Ending
		stream outcome.Ending
	}{
		{"complete", whole, "", false, false, answered, answered},
		{"not valid", whole, "{", false, false, refused(refusal.CodeInvalid), refused(refusal.CodeInvalid)},
		{"no server", refuse(refusal.CodeNoServer, refusal.NotRun, false), "", false, false, refused(refusal.CodeNoServer), refused(refusal.CodeNoServer)},
		{"broken off", refuse(refusal.CodeBackendFailed, refusal.Ran, true), "", false, false, refused(refusal.CodeBackendFailed), cut(outcome.ByServer)},
		{"no last frame", func(_ context.Context, sink dispatch.Sink) error {
			return sink.Frame("engine", &frame.Frame{Tokens: 1})
		}, "", false, false, refused(refusal.CodeIncomplete), cut(outcome.ByServer)},
		{"end of the process", refuse(refusal.CodeLeaving, refusal.RunUnknown, true), "", false, false, refused(refusal.CodeLeaving), cut(outcome.ByShutdown)},
		{"deadline", refuse(refusal.CodeDeadline, refusal.Ran, true), "", false, false, outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByStatus}, outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByBreak}},
		{"caller that leaves", leave(false), "", true, false, gone, gone},
		{"caller that leaves a stream", leave(true), "", true, true, gone, gone},
	} {
		for streamed, want := range map[string]outcome.Ending{"false": tc.whole, "true": tc.stream} {
			recorder := metrics.NewRecorder(prometheus.NewRegistry())
			started := make(chan struct{})
			server, key := serveWith(t, runnerFunc(func(ctx context.Context, sink dispatch.Sink) error {
				close(started)
				return tc.runner(ctx, sink)
			}), recorder)
			body := tc.body
			if body == "" {
				body = `{"model":"notice-writer","prompt":"x","max_tokens":2,"stream":` + streamed + `}`
			}
			ctx, disconnect := context.WithCancel(t.Context())
			if tc.leaves {
				go func() {
					<-started
					if !tc.begins || streamed == "false" {
						disconnect()
					}
				}()
			}
			send(t, ctx, server.URL, key, body, func() {
				if tc.leaves {
					disconnect()
				}
			})
			disconnect()
			server.Close() // waits until the request has ended
			if got := recorder.Callers().Totals(); got.Read != 1 || got.InFlight != 0 || !maps.Equal(got.Ended, map[outcome.Ending]int{want: 1}) {
				t.Errorf("%s, streamed %s: %+v, want %v", tc.name, streamed, got, want)
			}
		}
	}
}

// Guards against a request that ends by a panic of its handler and stays in flight.
func TestOutcomeOfAPanic(t *testing.T) {
	recorder := metrics.NewRecorder(prometheus.NewRegistry())
	server, key := serveWith(t, runnerFunc(func(context.Context, dispatch.Sink) error { panic(http.ErrAbortHandler) }), recorder)
	send(t, t.Context(), server.URL, key, `{"model":"notice-writer","prompt":"x","max_tokens":2}`, func() {})
	server.Close()
	if got := recorder.Callers().Totals(); got.Read != 1 || got.InFlight != 0 || got.Ended[outcome.Ending{Outcome: outcome.Cut, By: outcome.ByPanic}] != 1 {
		t.Errorf("%+v", got)
	}
}

// send sends a request and reads the response, if there is one. onFirstByte is called within its body.
func send(t *testing.T, ctx context.Context, url, key, body string, onFirstByte func()) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = resp.Body.Read(make([]byte, 1))
	onFirstByte()
	_, _ = io.Copy(io.Discard, resp.Body) // fails where the caller leaves
	_ = resp.Body.Close()
}
