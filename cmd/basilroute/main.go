// Command basilroute is the command-line tool for operators and teams: it checks and
// applies documents, issues and withdraws keys, shows the state of the fleet, and runs
// the demo and the stand-ins.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/transport/platform"
	"github.com/basilroute/basilroute/yamldoc"
)

// Exit codes.
const (
	exitFailed   = 1
	exitFindings = 2 // a document or settings file is invalid
	exitConflict = 3 // the document was changed concurrently
	exitTimeout  = 4 // not in force everywhere in time
)

var errTimeout = errors.New("not in force everywhere in time")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var findings yamldoc.Findings
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.Is(err, platform.ErrConflict):
		return exitConflict
	case errors.Is(err, errTimeout):
		return exitTimeout
	}
	return exitFailed
}

func root() *cli.Command {
	return strictUsage(&cli.Command{
		Name:                  "basilroute",
		Usage:                 "operate a basilroute fleet",
		Version:               version(),
		EnableShellCompletion: true,
		Description:           "Exit codes: 0 done, 1 failed, 2 findings in a document, 3 changed by somebody else, 4 not in force in time.",
		Commands: []*cli.Command{
			validateCommand(), applyCommand(), getCommand(), keysCommand(),
			statusCommand(), stateCommand(), entriesCommand(), demoCommand(), standinCommand(),
			experimentCommand(), loadCommand(), capacityCommand(), explainCommand(), lossesCommand(), versionCommand(),
		},
	})
}
