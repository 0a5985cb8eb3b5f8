package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// strictUsage makes a command and all its subcommands report wrong usage as an error.
// By default the library prints help on standard output, which scripts read, and exits
// with code 3 for an unknown command.
func strictUsage(command *cli.Command) *cli.Command {
	command.OnUsageError = func(_ context.Context, at *cli.Command, err error, _ bool) error {
		return errors.Newf("%v; see %s --help", err, at.FullName())
	}
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = chooseCommand
	}
	for _, sub := range command.Commands {
		strictUsage(sub)
	}
	return command
}

// chooseCommand is the action of a command that only groups others.
func chooseCommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return errors.Newf("no command %q; see %s --help", name, command.FullName())
	}
	return cli.ShowSubcommandHelp(command)
}
