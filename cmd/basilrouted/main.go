// Command basilrouted runs an entry instance: it accepts callers' requests, decides
// where they run, and dispatches them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/instance/signals"
	"github.com/basilroute/basilroute/platform"
	"github.com/basilroute/basilroute/yamldoc"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2 // the settings are invalid
)

func main() {
	command := &cli.Command{
		Name:  "basilrouted",
		Usage: "run an entry instance of basilroute",
		Description: "Exit codes: 0 graceful shutdown or settings valid, 1 failed, 2 findings in the settings.\n" +
			"SIGTERM and SIGINT shut it down gracefully, SIGHUP checks the settings, SIGUSR1 writes its state to the log.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "YAML file with the instance's settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Commands: []*cli.Command{platform.Command()},
		Action:   run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var findings yamldoc.Findings
	if errors.As(err, &findings) {
		return exitSettings
	}
	return exitFailed
}

func run(ctx context.Context, command *cli.Command) error {
	received := signals.Receive()
	file := command.String("config")
	if file == "" {
		return errors.New("--config is required")
	}
	settings, err := readSettings(file)
	if err != nil || command.Bool("check") {
		return err
	}
	log := newLogger(settings.Log)
	i, err := instance.New(settings, log)
	if err != nil {
		return err
	}
	i.Start()
	return supervise(ctx, i, received, file, log)
}

func readSettings(file string) (instance.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return instance.Settings{}, errors.Wrap(err, "settings")
	}
	return instance.ParseSettings(file, data)
}

// supervise runs until SIGTERM or SIGINT. SIGHUP checks the settings file, and SIGUSR1 logs the state.
func supervise(ctx context.Context, i *instance.Instance, received signals.Signals, file string, log *slog.Logger) error {
	for {
		select {
		case err := <-i.Failed():
			i.Kill()
			return err
		case <-received.Terminate:
			return shutDown(ctx, i, received.Terminate)
		case <-received.Reload:
			reload(file, log)
		case <-received.Dump:
			dump, err := json.Marshal(i.Dump())
			log.Info("state", "dump", json.RawMessage(dump), "error", err)
		}
	}
}

// reload checks the changed settings file. Its settings take effect at the next start.
func reload(file string, log *slog.Logger) {
	if _, err := readSettings(file); err != nil {
		log.Error("settings unreadable", "error", err.Error())
		return
	}
	log.Info("settings read", "in_force", "at the next start")
}

// shutDown shuts the instance down gracefully. A second SIGTERM or SIGINT aborts the
// requests that are still in flight.
func shutDown(ctx context.Context, i *instance.Instance, terminate <-chan os.Signal) error {
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	stopped := make(chan error, 1)
	go func() { stopped <- i.Stop(ctx) }()
	for {
		select {
		case err := <-stopped:
			return err
		case <-terminate:
			abort()
		}
	}
}

func newLogger(settings instance.Log) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(settings.Level)) // validated by ParseSettings
	options := &slog.HandlerOptions{Level: level}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
