package localfleet

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/loadgen"
	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

const (
	benchStreams       = 200
	benchTokenInterval = 10 * time.Millisecond // between tokens of a stream; long enough that each token is sent separately
	benchModel         = "bench-model"
)

// pacedEngine serves generations at a fixed rate of frames and with little CPU time; all
// other requests go to an engine stand-in.
func pacedEngine(rest http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/v1/generate" {
			rest.ServeHTTP(w, r)
			return
		}
		var req engineapi.GenerateRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f := frame.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Text: "token ", Tokens: 1}
		ticker := time.NewTicker(benchTokenInterval)
		defer ticker.Stop()
		var line []byte
		for ; f.Seq < int64(req.MaxTokens); f.Seq++ {
			if f.Seq == int64(req.MaxTokens)-1 {
				f.Finish = frame.FinishLength
			}
			line = f.AppendLine(line[:0])
			if _, err := w.Write(line); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			<-ticker.C
		}
	})
}

// benchFleet has the URLs of a paced engine, of an instance in the engine's failure domain,
// and of an instance that has to forward to it.
type benchFleet struct {
	engineURL, localURL, remoteURL, key string
}

func startBench(b *testing.B) benchFleet {
	b.Helper()
	fleet, err := Start(Config{
		Domains: []Domain{{Region: "here", Name: "beside", Instances: 1}, {Region: "here", Name: "away", Instances: 1}},
		Engine:  engine.DefaultConfig(), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Close)
	rest := engine.New(engine.DefaultConfig())
	b.Cleanup(rest.Close)
	handler, err := rest.Handler()
	if err != nil {
		b.Fatal(err)
	}
	if err := fleet.registerBackend(Domain{Region: "here", Name: "beside"}, "paced", benchModel, "v1", pacedEngine(handler)); err != nil {
		b.Fatal(err)
	}
	presented, key := catalog.NewKey("bench-1")
	ctx, cancel := context.WithTimeout(b.Context(), startLimit)
	defer cancel()
	for _, document := range []string{
		"kind: fleet\nname: fleet\nregions:\n  here: {domains: [beside, away]}\n",
		"kind: service\nname: bench-model\ntype: model\nclasses: {interactive: {deadline: 1h}}\nlimits: {output_tokens: 16777216, concurrency: 65536}\n",
		"kind: account\nname: bench\nrate: 1000000000\nburst: 1000000000000\nkeys: [{id: " + key.ID + ", sha256: " + key.SHA256 + "}]\n",
	} {
		if err := fleet.Apply(ctx, document); err != nil {
			b.Fatal(err)
		}
	}
	err = fleet.Await(ctx, func(i *instance.Instance) bool {
		return i.Ready() && i.Serves(benchModel) && i.CanCharge("bench", 1e8)
	})
	if err != nil {
		b.Fatal(err)
	}
	url := func(id string) string {
		callers, _, _ := fleet.Instances[id].Addresses()
		return "http://" + callers
	}
	return benchFleet{engineURL: fleet.Backends["paced"], localURL: url("beside-entry-1"), remoteURL: url("away-entry-1"), key: presented}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail with these arguments
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// readStreams reads b.N tokens over many streams and reports the cost per token of the
// whole process. This includes the paced engine and the reader, so the cost of the gateway
// is the difference from the direct streams of the same run.
func readStreams(b *testing.B, open openFunc) {
	transport := loadgen.NewTransport()
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	tokens := max(b.N/benchStreams, 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	b.ResetTimer()
	var streams sync.WaitGroup
	for range min(benchStreams, b.N) {
		streams.Go(func() {
			req, err := open(b.Context(), tokens)
			if err != nil {
				b.Error(err)
				return
			}
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				b.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
			}
		})
	}
	streams.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	total := float64(tokens * min(benchStreams, b.N))
	b.ReportMetric(float64(cpuTime()-cpu)/total, "cpu-ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/total, "B/token")
}

// openFunc returns a request for a stream of the given number of tokens.
type openFunc func(ctx context.Context, tokens int) (*http.Request, error)

func (f benchFleet) post(ctx context.Context, url, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+f.key)
	return req, nil
}

// direct requests streams from the engine itself.
func (f benchFleet) direct() openFunc {
	return func(ctx context.Context, tokens int) (*http.Request, error) {
		return f.post(ctx, f.engineURL+"/v1/generate",
			`{"request_id":"0193a1b2-7c1e-7f00-8000-0123456789ab","attempt":1,"account":"bench","prompt":"x","priority":0,"max_tokens":`+strconv.Itoa(tokens)+`}`)
	}
}

// viaInstance requests streams through an instance.
func (f benchFleet) viaInstance(url string) openFunc {
	return func(ctx context.Context, tokens int) (*http.Request, error) {
		return f.post(ctx, url+completions, `{"model":"bench-model","prompt":"x","stream":true,"max_tokens":`+strconv.Itoa(tokens)+`}`)
	}
}

// BenchmarkStream measures the cost of forwarding a token. Use -benchtime 200000x: each
// stream then has 1,000 tokens and runs for ten seconds.
func BenchmarkStream(b *testing.B) {
	f := startBench(b)
	b.Run("direct", func(b *testing.B) { readStreams(b, f.direct()) })
	b.Run("gateway", func(b *testing.B) { readStreams(b, f.viaInstance(f.localURL)) })
	b.Run("forwarded", func(b *testing.B) { readStreams(b, f.viaInstance(f.remoteURL)) })
}
