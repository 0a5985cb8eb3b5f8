package gateway

import (
	"testing"

	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/service"
)

// A caller that sets no bound asks for an answer that the service can give. With
// the API's own default of 256 it was refused, for a value that it never sent,
// by every service whose limit is lower.
func TestDefaultAnswerFitsServiceLimit(t *testing.T) {
	for _, c := range []struct{ limit, want int64 }{{100, 100}, {4096, defaultMaxTokens}} {
		svc := &service.Service{Limits: service.Limits{PromptTokens: 100, OutputTokens: c.limit}}
		g, err := generation(svc, "a question", gatewayapi.OptInt{})
		if err != nil || int64(g.MaxTokens) != c.want {
			t.Errorf("limit %d: %+v, %v", c.limit, g, err)
		}
	}
}
