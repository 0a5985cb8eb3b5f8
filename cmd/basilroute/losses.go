package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const defaultWindow = 10 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count the requests in logs that were not served in time, by reason, route, time window and server",
		ArgsUsage: "[LOG...]",
		Description: "Reads JSON lines as basilrouted platform writes them, from the files or from standard input.\n" +
			"Requests that were served in time are not counted, since only a sample of them is logged.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: defaultWindow, Usage: "length of a time window"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			window := command.Duration("window")
			if window <= 0 {
				return errors.New("want a window above 0")
			}
			lines, err := readLogs(command.Args().Slice(), func(line string) bool { return strings.Contains(line, `"request_`) })
			if err != nil {
				return err
			}
			return printLosses(command.Root().Writer, findLosses(lines), window)
		},
	}
}

// loss is a request that was not served in time.
type loss struct {
	at     time.Time // when it was admitted
	route  string
	reason string
	server string // last server or region that got it; empty if none did
}

// findLosses returns the lost requests of the lines, in order of time.
func findLosses(lines []logLine) []loss {
	byRequest := make(map[string][]logLine)
	for _, l := range lines {
		byRequest[l.Request] = append(byRequest[l.Request], l)
	}
	var out []loss
	for _, trace := range byRequest {
		slices.SortStableFunc(trace, func(a, b logLine) int { return a.Time.Compare(b.Time) })
		if l, lost := classifyLoss(trace); lost {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b loss) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.route, b.route)) })
	return out
}

// classifyLoss returns how a request was lost, and false if it was served in time. The trace
// is in order of time.
func classifyLoss(trace []logLine) (loss, bool) {
	l := loss{at: trace[0].Time, route: "-"}
	var objective, gap float64
	wait := ""
	for i := range trace {
		line := &trace[i]
		switch line.Event {
		case "request_admitted":
			l.route, objective, gap = line.text("route"), line.number("objective_ms"), line.number("gap_ms")
		case "request_placed":
			l.server = line.text("server")
		case "request_forwarded":
			l.server = line.text("region")
		case "request_waited":
			wait = waitSuffix(line)
		}
	}
	end := &trace[len(trace)-1]
	switch end.Event {
	case "request_served":
		l.server = cmp.Or(end.text("server"), l.server)
		l.reason = lateReason(end, objective, gap)
		if l.reason == lateFirstByte {
			l.reason += wait
		}
	case "request_refused":
		l.reason = "refused: " + end.text("reason") + wait
	case "request_cut":
		l.reason = "cut: " + end.text("reason")
	default:
		l.reason = "no end in the log"
	}
	return l, l.reason != ""
}

// waitSuffix returns what the wait for a slot adds to the reason of a loss: nothing if the request
// found no slot but did not wait. A caller that returned had been refused before.
func waitSuffix(waited *logLine) string {
	switch {
	case waited.flag("returned"):
		return ", returned"
	case waited.number("waited_ms") > 0:
		return ", waited"
	}
	return ""
}

const lateFirstByte = "late: first byte"

// lateReason returns why a served response was late, empty if it was not.
func lateReason(end *logLine, objective, gap float64) string {
	switch {
	case objective > 0 && end.number("first_byte_ms") > objective:
		return lateFirstByte
	case gap > 0 && end.number("longest_pause_ms") > gap:
		return "late: pause"
	}
	return ""
}

// printLosses writes tables by route, by time window and by server.
func printLosses(out io.Writer, all []loss, window time.Duration) error {
	for _, by := range []struct {
		title string
		key   func(l *loss) string
	}{
		{"route", func(l *loss) string { return l.route }},
		{"moment", func(l *loss) string { return l.at.Truncate(window).UTC().Format("15:04:05") }},
		{"server or region", func(l *loss) string { return cmp.Or(l.server, "-") }},
	} {
		counts := make(map[[2]string]int)
		for i := range all {
			counts[[2]string{by.key(&all[i]), all[i].reason}]++
		}
		if err := printCounts(out, by.title, counts); err != nil {
			return err
		}
	}
	return nil
}

func printCounts(out io.Writer, title string, counts map[[2]string]int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintf(w, "%s\treason\trequests\n", title); err != nil {
		return errors.Wrap(err, "print")
	}
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b [2]string) int {
		return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(counts[b], counts[a]), cmp.Compare(a[1], b[1]))
	})
	for _, key := range keys {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%d\n", key[0], key[1], counts[key]); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(w.Flush(), "print")
}
