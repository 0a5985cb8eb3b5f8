package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/basilroute/basilroute/loadgen"
	"github.com/basilroute/basilroute/localfleet"
	"github.com/basilroute/basilroute/standin/engine"
)

// Arms of the overhead measurement.
const (
	armDirect    = "direct"
	armGateway   = "gateway"
	armForwarded = "forwarded"
)

// overheadMix leaves the engine idle between requests, so that no queueing delay is
// measured.
const overheadMix = `seed: 1
rate: 60
duration: 30s
warmup: 5s
arrivals: fixed
accounts:
  - name: overhead
    share: 1
    requests:
      - {service: overhead-model, prompt_tokens: {min: 100, max: 100}, output_tokens: {min: 16, max: 16}}
`

var overheadDocuments = []string{
	"kind: fleet\nname: fleet\nregions:\n  here: {domains: [beside, away]}\n",
	"kind: service\nname: overhead-model\ntype: model\n",
	"kind: account\nname: overhead\nrate: 1000000\nburst: 10000000\n",
}

// overheadEngine responds without any delay: the duration of a short sleep varies
// between 0.1 and 1 ms with the load of the machine, which would hide the overhead of
// the gateway.
func overheadEngine() engine.Config {
	config := engine.DefaultConfig()
	config.PrefillRate, config.MaxBatch = 1e12, 64
	config.StepBase, config.StepPerSequence = 0, 0
	return config
}

// startOverhead runs one engine with an instance in its failure domain, and
// another instance in a domain without engines, which has to forward.
func startOverhead(ctx context.Context, mix *loadgen.Mix, transport loadgen.Transport) (*localfleet.Fleet, []loadgen.Arm, error) {
	fleet, err := startFleet(ctx, localfleet.Config{
		Domains: []localfleet.Domain{
			{Region: "here", Name: "beside", Instances: 1, Engines: 1},
			{Region: "here", Name: "away", Instances: 1},
		},
		ModelService: "overhead-model", Engine: overheadEngine(), Log: slog.New(slog.DiscardHandler),
	}, overheadDocuments, mix)
	if err != nil {
		return nil, nil, err
	}
	gatewayTarget := func(id string) loadgen.Target {
		callers, _, _ := fleet.Instances[id].Addresses()
		return loadgen.NewFixedGateway(mix, "http://"+callers, transport)
	}
	return fleet, []loadgen.Arm{
		{Name: armDirect, Target: &loadgen.Engine{Client: &http.Client{Transport: transport}, URL: fleet.Backends["beside-engine-1"]}},
		{Name: armGateway, Target: gatewayTarget("beside-entry-1")},
		{Name: armForwarded, Target: gatewayTarget("away-entry-1")},
	}, nil
}

// overheadLines compares the arms with the direct calls of the same run.
func overheadLines(report *loadgen.Report) []string {
	rows := make(map[string]loadgen.Row)
	for _, row := range report.Arms {
		rows[row.Name] = row
	}
	direct, ok := rows[armDirect]
	if !ok || direct.Done == 0 {
		return nil
	}
	lines := []string{"against direct calls         first p50             first p99             whole p50             whole p99"}
	for _, name := range []string{armGateway, armForwarded} {
		row := rows[name]
		lines = append(lines, fmt.Sprintf("%-24s %s %s %s %s", name,
			formatOverhead(row.FirstToken.P50, direct.FirstToken.P50), formatOverhead(row.FirstToken.P99, direct.FirstToken.P99),
			formatOverhead(row.ResponseTime.P50, direct.ResponseTime.P50), formatOverhead(row.ResponseTime.P99, direct.ResponseTime.P99)))
	}
	return lines
}

// formatOverhead returns the ratio and the difference of two durations in microseconds.
func formatOverhead(a, b int64) string {
	return fmt.Sprintf("%8.2f (%+7.0f us)", float64(a)/float64(max(b, 1)), float64(a-b))
}
