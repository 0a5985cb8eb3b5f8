package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the trace of one request from the logs of several instances, in order of time",
		ArgsUsage: "REQUEST-ID [LOG...]",
		Description: "Reads JSON lines as basilrouted platform writes them, from the files or from standard input.\n" +
			"Text before the first brace of a line, such as the prefix of a log collector, is ignored.",
		Action: func(_ context.Context, command *cli.Command) error {
			id := command.Args().First()
			if id == "" {
				return errors.New("want the id of a request")
			}
			lines, err := readLogs(command.Args().Tail(), func(line string) bool { return strings.Contains(line, id) })
			if err != nil {
				return err
			}
			lines = slices.DeleteFunc(lines, func(l logLine) bool { return l.Request != id })
			if len(lines) == 0 {
				return errors.Newf("no line names request %s", id)
			}
			return printTrace(command.Root().Writer, lines)
		},
	}
}

func printTrace(out io.Writer, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, line := range lines {
		var fields []string
		for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", key, line.Fields[key]))
		}
		_, err := fmt.Fprintf(out, "%s  %-20s %-18s %s\n", line.Time.UTC().Format("15:04:05.000"), line.Instance, line.Event, strings.Join(fields, " "))
		if err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
