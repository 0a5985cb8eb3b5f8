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
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// bufferedSink buffers a complete response.
type bufferedSink struct {
	body         []byte
	text         strings.Builder
	last         frame.Frame
	outputTokens int
}

// Frame implements dispatch.Sink.
func (s *bufferedSink) Frame(_ string, f *frame.Frame) error {
	s.text.WriteString(f.Text)
	s.outputTokens += f.Tokens
	if f.Finish != "" {
		s.last = *f
	}
	return nil
}

// Answer implements dispatch.Sink.
func (s *bufferedSink) Answer(_ string, body []byte) error {
	s.body = body
	return nil
}

// Complete reports whether the response has its last frame or its body.
func (s *bufferedSink) Complete() bool { return s.body != nil || s.last.Finish != "" }

// checkComplete refuses a response that ended without an error but is incomplete, so that a
// fault in transit never looks like a short response.
func checkComplete(sink dispatch.Sink) error {
	if s, ok := sink.(interface{ Complete() bool }); ok && !s.Complete() {
		return refusal.New(refusal.CodeIncomplete, "the answer is not whole").WithRunState(refusal.Ran)
	}
	return nil
}

// Restart implements dispatch.Restarter.
func (s *bufferedSink) Restart() bool {
	*s = bufferedSink{}
	return true
}

func (s *bufferedSink) usage() gatewayapi.Usage {
	return gatewayapi.Usage{
		PromptTokens: s.last.PromptTokens, CompletionTokens: s.outputTokens,
		TotalTokens:  s.last.PromptTokens + s.outputTokens,
		CachedTokens: gatewayapi.NewOptInt(s.last.CachedTokens),
	}
}

// joinMessages joins chat messages into the prompt that is sent to engines.
func joinMessages(messages []gatewayapi.Message) string {
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
	work.Generation, err = checkedGeneration(svc, prompt, maxTokens)
	return work, err
}

// CreateChatCompletion implements gatewayapi.Handler.
func (g *Gateway) CreateChatCompletion(ctx context.Context, req *gatewayapi.ChatRequest, p gatewayapi.CreateChatCompletionParams) (gatewayapi.CreateChatCompletionRes, error) {
	w, err := g.newGeneration(ctx, req.Model, joinMessages(req.Messages), req.MaxTokens, p.XRequestClass, p.XVia.Or(""))
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		events, err := g.stream(ctx, w, objectChatChunk)
		if err != nil {
			return nil, err
		}
		return &gatewayapi.CreateChatCompletionOKTextEventStream{Data: events}, nil
	}
	response := &bufferedSink{}
	if err := g.run(ctx, w, response); err != nil {
		return nil, err
	}
	return &gatewayapi.ChatCompletion{
		ID: w.RequestID, Object: objectChat, Created: time.Now().Unix(), Model: req.Model,
		Choices: []gatewayapi.ChatChoice{{
			Message:      gatewayapi.Message{Role: gatewayapi.MessageRoleAssistant, Content: response.text.String()},
			FinishReason: response.last.Finish,
		}},
		Usage: response.usage(),
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
	response := &bufferedSink{}
	if err := g.run(ctx, w, response); err != nil {
		return nil, err
	}
	return &gatewayapi.Completion{
		ID: w.RequestID, Object: objectCompletion, Created: time.Now().Unix(), Model: req.Model,
		Choices: []gatewayapi.CompletionChoice{{Text: response.text.String(), FinishReason: response.last.Finish}},
		Usage:   response.usage(),
	}, nil
}
