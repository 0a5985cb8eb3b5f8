package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// unreleased is the version of a binary that was not built from a tagged module.
const unreleased = "unreleased"

// version returns the module's version and the commit that the binary was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unreleased
	}
	name := info.Main.Version
	if name == "" || name == "(devel)" {
		name = unreleased
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			name += " " + setting.Value
		}
	}
	return name
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			_, err := fmt.Fprintf(command.Root().Writer, "basilroute %s, %s %s/%s\n", version(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
