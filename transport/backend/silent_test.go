package backend

import (
	"net/http"
	"testing"
	"time"
)

// silence is how long the servers of these tests send nothing in the middle of a request.
const silence = 2 * time.Second

// silentServer sends the parts of a response with silence before each.
func silentServer(t *testing.T, parts ...[]byte) string {
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, part := range parts {
			time.Sleep(silence)
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()
		}
	}))
}

// Guards against giving up an engine that is silent before and between its frames.
func TestSilentEngineIsBorne(t *testing.T) {
	t.Parallel()
	frames := makeFrames("own", 1)
	address := silentServer(t, encodeFrames(frames[:1]), encodeFrames(frames[1:]))
	client := New()
	defer client.Close()
	var stats StreamStats
	next := int64(0)
	err := client.Generate(t.Context(), address, Generation{RequestID: "own", Attempt: 1}, &next, &stats, handleNothing)
	if err != nil || next != frameCount {
		t.Errorf("%d of %d frames, %v", next, frameCount, err)
	}
}

// Guards against giving up a plain service that is silent before and in its answer.
func TestSilentServiceIsBorne(t *testing.T) {
	t.Parallel()
	address := silentServer(t, []byte(`{"id":`), []byte(`"x"}`))
	client := New()
	defer client.Close()
	if answer, err := client.Run(t.Context(), address, purchaseOrder("x")); err != nil || string(answer) != `{"id":"x"}` {
		t.Errorf("%q, %v", answer, err)
	}
}
