package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

const (
	objectChat       = "chat.completion"
	objectChatPart   = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// wholeSink gathers an answer.
type wholeSink struct {
	body []byte
	text strings.Builder
	last frame.Frame
	out  int
}

// Frame implements dispatch.Sink.
func (s *wholeSink) Frame(_ string, f *frame.Frame) error {
	s.text.WriteString(f.Text)
	s.out += f.Tokens
	if f.Finish != "" {
		s.last = *f
	}
	return nil
}

// Answer implements dispatch.Sink.
func (s *wholeSink) Answer(_ string, body []byte) error {
	s.body = body
	return nil
}

// Whole tells whether the answer has its end.
func (s *wholeSink) Whole() bool { return s.body != nil || s.last.Finish != "" }

// whole refuses an answer that ended without an error and without its end, so
// that a fault on the way never looks like a short answer.
func whole(sink dispatch.Sink) error {
	if s, ok := sink.(interface{ Whole() bool }); ok && !s.Whole() {
		return refusal.New(refusal.CodeIncomplete, "the answer is not whole").WithRun(refusal.Ran)
	}
	return nil
}

// Restart implements dispatch.Restarter.
func (s *wholeSink) Restart() bool {
	*s = wholeSink{}
	return true
}

func (s *wholeSink) usage() gatewayapi.Usage {
	return gatewayapi.Usage{
		PromptTokens: s.last.PromptTokens, CompletionTokens: s.out,
		TotalTokens:  s.last.PromptTokens + s.out,
		CachedTokens: gatewayapi.NewOptInt(s.last.CachedTokens),
	}
}

// promptOf joins chat messages into the prompt that engines get.
func promptOf(messages []gatewayapi.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(string(m.Role))
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

func (g *Gateway) newGeneration(ctx context.Context, model, prompt string, maxTokens gatewayapi.OptInt, class gatewayapi.OptClass, via string) (*dispatch.Work, error) {
	svc, err := g.lookup(model, service.TypeModel)
	if err != nil {
		return nil, err
	}
	work, err := g.newWork(ctx, svc, classOf(class), via)
	if err != nil {
		return nil, err
	}
	work.Generation, err = generation(svc, prompt, maxTokens)
	return work, err
}

// CreateChatCompletion implements gatewayapi.Handler.
func (g *Gateway) CreateChatCompletion(ctx context.Context, req *gatewayapi.ChatRequest, p gatewayapi.CreateChatCompletionParams) (gatewayapi.CreateChatCompletionRes, error) {
	w, err := g.newGeneration(ctx, req.Model, promptOf(req.Messages), req.MaxTokens, p.XRequestClass, p.XVia.Or(""))
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		events, err := g.stream(ctx, w, objectChatPart)
		if err != nil {
			return nil, err
		}
		return &gatewayapi.CreateChatCompletionOKTextEventStream{Data: events}, nil
	}
	answer := &wholeSink{}
	if err := g.run(ctx, w, answer); err != nil {
		return nil, err
	}
	return &gatewayapi.ChatCompletion{
		ID: w.RequestID, Object: objectChat, Created: time.Now().Unix(), Model: req.Model,
		Choices: []gatewayapi.ChatChoice{{
			Message:      gatewayapi.Message{Role: gatewayapi.MessageRoleAssistant, Content: answer.text.String()},
			FinishReason: answer.last.Finish,
		}},
		Usage: answer.usage(),
	}, nil
}

// CreateCompletion implements gatewayapi.Handler.
func (g *Gateway) CreateCompletion(ctx context.Context, req *gatewayapi.CompletionRequest, p gatewayapi.CreateCompletionParams) (gatewayapi.CreateCompletionRes, error) {
	w, err := g.newGeneration(ctx, req.Model, req.Prompt, req.MaxTokens, p.XRequestClass, p.XVia.Or(""))
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		events, err := g.stream(ctx, w, objectCompletion)
		if err != nil {
			return nil, err
		}
		return &gatewayapi.CreateCompletionOKTextEventStream{Data: events}, nil
	}
	answer := &wholeSink{}
	if err := g.run(ctx, w, answer); err != nil {
		return nil, err
	}
	return &gatewayapi.Completion{
		ID: w.RequestID, Object: objectCompletion, Created: time.Now().Unix(), Model: req.Model,
		Choices: []gatewayapi.CompletionChoice{{Text: answer.text.String(), FinishReason: answer.last.Finish}},
		Usage:   answer.usage(),
	}, nil
}
