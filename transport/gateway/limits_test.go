package gateway

import (
	"testing"

	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/service"
)

// A request without max_tokens must get a default within the service's limit. With the API's
// default of 256, every service with a lower limit refused it for a value that the caller
// never sent.
func TestDefaultAnswerFitsServiceLimit(t *testing.T) {
	for _, c := range []struct{ limit, want int64 }{{100, 100}, {4096, defaultMaxTokens}} {
		svc := &service.Service{Limits: service.Limits{PromptTokens: 100, OutputTokens: c.limit}}
		g, err := checkedGeneration(svc, "a question", gatewayapi.OptInt{})
		if err != nil || int64(g.MaxTokens) != c.want {
			t.Errorf("limit %d: %+v, %v", c.limit, g, err)
		}
	}
}
