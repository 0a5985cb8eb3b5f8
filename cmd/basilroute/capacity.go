package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:      "capacity",
		Usage:     "extrapolate benchmarks that ran at several sizes to the planned fleet size",
		ArgsUsage: "[FILE]",
		Description: "Reads the output of `go test -run '^$' -bench Size -benchmem ./...` from the file or standard input,\n" +
			"fits a line to each metric and prints a table in markdown.",
		Action: runCapacity,
	}
}

func runCapacity(_ context.Context, command *cli.Command) error {
	var in io.Reader = os.Stdin
	if file := command.Args().First(); file != "" {
		f, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "benchmarks")
		}
		defer f.Close()
		in = f
	}
	all, err := capacity.Parse(in)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return errors.New("no benchmarks by size: run go test -run '^$' -bench Size -benchmem ./...")
	}
	return capacity.WriteMarkdown(command.Root().Writer, all, capacity.Targets())
}
