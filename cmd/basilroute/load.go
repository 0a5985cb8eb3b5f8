package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/loadgen"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send open-loop load to a fleet and measure the responses that callers get",
		ArgsUsage: "[MIX-FILE]",
		Description: "Without --demo, the mix file names the accounts and their keys, and --url any of the instances.\n" +
			"With --demo, a deployment of examples/ runs in this process and its own mix is used unless a file is given.\n" +
			"With --overhead, two instances and one engine run in this process, and the same requests go straight to the\n" +
			"engine, through an instance in its failure domain, and through one that forwards them.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "URL of an instance for callers; may be given more than once"},
			&cli.StringFlag{Name: "demo", Usage: "run recall-desk or guild in this process"},
			&cli.BoolFlag{Name: "overhead", Usage: "compare with direct calls to the engine"},
			&cli.Int64Flag{Name: "seed", Usage: "overrides the mix's seed"},
			&cli.FloatFlag{Name: "rate", Usage: "overrides the mix's requests per second"},
			&cli.DurationFlag{Name: "duration", Usage: "overrides the mix's duration"},
			outputFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	mix, err := loadMix(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport := loadgen.NewTransport()
	defer transport.CloseIdleConnections()
	var arms []loadgen.Arm
	switch {
	case command.Bool("overhead"):
		fleet, list, err := startOverhead(ctx, mix, transport)
		if err != nil {
			return err
		}
		defer fleet.Close()
		arms = list
	case command.String("demo") != "":
		fleet, seeds, err := startDeployment(ctx, command.String("demo"), mix)
		if err != nil {
			return err
		}
		defer fleet.Close()
		arms = gatewayArm(ctx, mix, seeds, transport)
	default:
		seeds := command.StringSlice("url")
		if len(seeds) == 0 {
			return errors.New("--url or --demo is required")
		}
		arms = gatewayArm(ctx, mix, seeds, transport)
	}
	report, err := loadgen.Run(ctx, mix, arms...)
	if writeErr := printReport(command, report); writeErr != nil {
		return writeErr
	}
	return err
}

func gatewayArm(ctx context.Context, mix *loadgen.Mix, seeds []string, transport loadgen.Transport) []loadgen.Arm {
	return []loadgen.Arm{{Name: "gateway", Target: loadgen.NewGateway(ctx, mix, seeds, transport)}}
}

// loadMix reads the mix from the given file, or returns the default mix of the mode
// (--overhead or --demo).
func loadMix(command *cli.Command) (*loadgen.Mix, error) {
	file := command.Args().First()
	var data []byte
	var err error
	switch {
	case file != "":
		data, err = os.ReadFile(file)
	case command.Bool("overhead"):
		file, data = "overhead", []byte(overheadMix)
	case command.String("demo") != "":
		file, data, err = deploymentMix(command.String("demo"))
	default:
		return nil, errors.New("a mix file is required without --demo and --overhead")
	}
	if err != nil {
		return nil, errors.Wrap(err, "mix")
	}
	mix, err := loadgen.ParseMix(file, data)
	if err != nil {
		return nil, err
	}
	return mix, override(command, mix)
}

func override(command *cli.Command, mix *loadgen.Mix) error {
	if command.IsSet("seed") {
		mix.Seed = command.Int64("seed")
	}
	if command.IsSet("rate") {
		mix.Rate = command.Float("rate")
	}
	if command.IsSet("duration") {
		mix.Duration = command.Duration("duration")
	}
	if mix.Rate <= 0 || mix.Duration <= mix.Warmup {
		return errors.Newf("want a rate above 0 and a duration above the warm-up %s", mix.Warmup)
	}
	return nil
}

func printReport(command *cli.Command, report *loadgen.Report) error {
	out := command.Root().Writer
	if command.String("output") == "json" {
		return report.WriteJSON(out)
	}
	if err := report.WriteTable(out); err != nil {
		return err
	}
	for _, line := range overheadLines(report) {
		fmt.Fprintln(out, line)
	}
	return nil
}
