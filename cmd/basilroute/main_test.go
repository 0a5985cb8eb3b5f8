package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/platform"
)

// runCLI runs the command in this process and returns what it wrote and its exit code.
func runCLI(t *testing.T, args ...string) (out, problems string, code int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	command := root()
	command.Writer, command.ErrWriter = &stdout, &stderr
	if err := command.Run(context.Background(), append([]string{"basilroute"}, args...)); err != nil {
		return stdout.String(), stderr.String() + err.Error(), exitCode(err)
	}
	return stdout.String(), stderr.String(), 0
}

func write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Scripts rely on the exit codes that the command documents.
func TestExitCodes(t *testing.T) {
	for code, err := range map[int]error{
		exitFailed: errors.New("x"), exitConflict: errors.Wrap(platform.ErrConflict, "service a"), exitTimeout: errors.CombineErrors(errTimeout, nil),
	} {
		if got := exitCode(err); got != code {
			t.Errorf("%v: exit code %d, want %d", err, got, code)
		}
	}
	for name, test := range map[string]struct {
		args []string
		code int
	}{
		"version":        {[]string{"version"}, 0},
		"valid":          {[]string{"validate", write(t, "good.yaml", "kind: service\nname: a\n")}, 0},
		"findings":       {[]string{"validate", write(t, "bad.yaml", "kind: service\nname: A\n")}, exitFindings},
		"settings":       {[]string{"validate", "--instance", write(t, "bad.yaml", "id: a\n")}, exitFindings},
		"mix":            {[]string{"load", "--url", "http://192.0.2.1", write(t, "mix.yaml", "rate: -1\n")}, exitFindings},
		"no file":        {[]string{"validate", "no-such-file"}, exitFailed},
		"no documents":   {[]string{"validate"}, exitFailed},
		"unknown demo":   {[]string{"load", "--demo", "no-such"}, exitFailed},
		"no benchmarks":  {[]string{"capacity", write(t, "empty", "PASS\n")}, exitFailed},
		"no flag needed": {[]string{"status"}, exitFailed},
	} {
		if _, problems, code := runCLI(t, test.args...); code != test.code {
			t.Errorf("%s: exit code %d, want %d: %s", name, code, test.code, problems)
		}
	}
}

// Scripts read standard output, so findings go to standard error only.
func TestFindingsGoToStandardError(t *testing.T) {
	good := write(t, "good.yaml", "kind: service\nname: a\n")
	bad := write(t, "bad.yaml", "kind: service\nname: A\nx: 1\n")
	out, problems, _ := runCLI(t, "validate", good, bad)
	if out != "" {
		t.Errorf("standard output: %q", out)
	}
	if !strings.Contains(problems, "bad.yaml:2:1: name:") || !strings.Contains(problems, "bad.yaml:3:1: x: unknown field") {
		t.Errorf("findings: %q", problems)
	}
}

// Wrong usage is reported on standard error with exit code 1, like any other error.
func TestWrongUsage(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"}, {"keys", "nonsense"}, {"status", "--nonsense"}, {"apply", "x"}, {"load", "--rate", "many"}, {"standin", "engine"},
	} {
		out, problems, code := runCLI(t, args...)
		if out != "" || code != exitFailed || !strings.Contains(problems, "--help") {
			t.Errorf("%v: code %d, standard output %q, standard error %q", args, code, out, problems)
		}
	}
	if out, _, code := runCLI(t); code != 0 || !strings.Contains(out, "COMMANDS") {
		t.Errorf("without a command: code %d, %q", code, out)
	}
}
