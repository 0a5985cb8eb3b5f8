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
	Fields   map[string]any // all other fields
}

// text returns a string field, empty if it is missing.
func (l *logLine) text(key string) string {
	value, _ := l.Fields[key].(string)
	return value
}

// number returns a numeric field, 0 if it is missing.
func (l *logLine) number(key string) float64 {
	value, _ := l.Fields[key].(float64)
	return value
}

// flag returns a boolean field, false if it is missing.
func (l *logLine) flag(key string) bool {
	value, _ := l.Fields[key].(bool)
	return value
}

// maxLogLine bounds a line, in bytes.
const maxLogLine = 1 << 20

// readLogs reads the lines that name a request and for which keep returns true, from
// the files or, without files, from standard input.
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
	defer func() { _ = file.Close() }() // opened for reading only
	return readLog(file, keep)
}

// readLog skips lines that are not JSON, since one file may hold the logs of several
// programs.
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
		line, err := parseLine(fields)
		if err != nil {
			return nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		out = append(out, line)
	}
	return out, errors.Wrap(scanner.Err(), "log")
}

// parseLine moves the fields that every line has from Fields to their own members. Request
// traces are written when the request has ended, so the time of a step is its "at" field
// if there is one.
func parseLine(fields map[string]any) (logLine, error) {
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
