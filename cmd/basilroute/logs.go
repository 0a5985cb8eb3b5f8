package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// logLine is one line of a log that names a request.
type logLine struct {
	Time     time.Time
	Instance string
	Event    string
	Request  string
	Fields   map[string]any // the others
}

// text returns a field that is a string, empty where it is missing.
func (l *logLine) text(key string) string {
	value, _ := l.Fields[key].(string) // empty when it is missing
	return value
}

// number returns a field that is a number, 0 where it is missing.
func (l *logLine) number(key string) float64 {
	value, _ := l.Fields[key].(float64) // 0 when it is missing
	return value
}

// maxLogLine bounds a line, in bytes.
const maxLogLine = 1 << 20

// readLogs reads the lines that name a request and that keep wants, from the files or,
// when there are none, from standard input.
func readLogs(files []string, keep func(line string) bool) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(os.Stdin, keep)
	}
	var out []logLine
	for _, name := range files {
		lines, err := readLogFile(name, keep)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readLogFile(name string, keep func(line string) bool) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }() // it was only read
	return readLog(file, keep)
}

// readLog passes over lines that are no JSON: logs of several programs may stand in one
// file.
func readLog(in io.Reader, keep func(line string) bool) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 || !keep(scanner.Text()) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(scanner.Text()[at:]), &fields); err != nil || fields["request"] == nil {
			continue
		}
		line, err := lineOf(fields)
		if err != nil {
			return nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		out = append(out, line)
	}
	return out, errors.Wrap(scanner.Err(), "log")
}

// lineOf takes what every line has out of the fields. Stories are written when a request
// has ended: "at" says when a step was.
func lineOf(fields map[string]any) (logLine, error) {
	line := logLine{Fields: fields}
	line.Instance, line.Event, line.Request = line.text("instance"), line.text("msg"), line.text("request")
	when := line.text("at")
	if when == "" {
		when = line.text("time")
	}
	parsed, err := time.Parse(time.RFC3339Nano, when)
	line.Time = parsed
	for _, key := range []string{"time", "level", "msg", "instance", "request", "at"} {
		delete(fields, key)
	}
	return line, err
}
