package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print one request's story from the logs of several instances, in order of time",
		ArgsUsage: "REQUEST-ID [LOG...]",
		Description: "Reads JSON lines as basilrouted platform writes them, from the files or from standard input.\n" +
			"Lines that other programs put in front of the JSON are passed over up to its first brace.",
		Action: func(_ context.Context, command *cli.Command) error {
			id := command.Args().First()
			if id == "" {
				return errors.New("want the id of a request")
			}
			var lines []logLine
			if command.Args().Len() == 1 {
				found, err := readStory(os.Stdin, id)
				if err != nil {
					return err
				}
				lines = found
			}
			for _, file := range command.Args().Tail() {
				found, err := readStoryFile(file, id)
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return errors.Newf("no line names request %s", id)
			}
			return printStory(command.Root().Writer, lines)
		},
	}
}

// logLine is one line of a log that names a request.
type logLine struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// maxLogLine bounds a line, in bytes.
const maxLogLine = 1 << 20

func readStoryFile(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }() // it was only read
	return readStory(file, id)
}

// readStory returns the lines that name a request. Lines that are no JSON are passed
// over: logs of several programs may stand in one file.
func readStory(in io.Reader, id string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 || !strings.Contains(scanner.Text(), id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(scanner.Text()[at:]), &fields); err != nil || fields["request"] != id {
			continue
		}
		line := logLine{Fields: fields}
		line.Instance, _ = fields["instance"].(string) // empty when it is missing
		line.Event, _ = fields["msg"].(string)         // as above
		// Stories are written when a request has ended: "at" says when a step was.
		text, ok := fields["at"].(string)
		if !ok {
			text, _ = fields["time"].(string)
		}
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		line.Time = parsed
		for _, key := range []string{"time", "level", "msg", "instance", "request", "at"} {
			delete(fields, key)
		}
		out = append(out, line)
	}
	return out, errors.Wrap(scanner.Err(), "log")
}

func printStory(out io.Writer, lines []logLine) error {
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
