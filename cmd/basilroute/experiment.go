package main

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/experiment"
)

const measurementsHead = `# Measurements

Written by ` + "`basilroute experiment --write docs/MEASUREMENTS.md`" + `. All runs are in virtual time
and follow from their seed.

`

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "measure the decisions against baselines in virtual time", ArgsUsage: "[NAME...]",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of every random choice"},
			&cli.StringFlag{Name: "write", Usage: "write the page to this file in place of standard output"},
		},
		Action: runExperiments,
	}
}

func runExperiments(_ context.Context, command *cli.Command) error {
	names := make(map[string]bool)
	for _, name := range command.Args().Slice() {
		names[name] = true
	}
	seed := command.Uint64("seed")
	page := bytes.NewBufferString(measurementsHead)
	for _, e := range experiment.All() {
		if len(names) > 0 && !names[e.Name] {
			continue
		}
		table, err := e.Run(seed)
		if err != nil {
			return errors.Wrap(err, e.Name)
		}
		if err := table.WriteMarkdown(page, e, seed); err != nil {
			return err
		}
	}
	if file := command.String("write"); file != "" {
		return os.WriteFile(file, page.Bytes(), 0o644)
	}
	_, err := fmt.Fprint(command.Root().Writer, page)
	return err
}
