// Command basilrouted runs an entry instance: it accepts callers' requests, decides
// where they run, and dispatches them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/instance"
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
			"SIGTERM and SIGINT shut it down gracefully, SIGUSR1 writes its state to the log.",
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
	file := command.String("config")
	if file == "" {
		return errors.New("--config is required")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	settings, err := instance.ParseSettings(file, data)
	if err != nil || command.Bool("check") {
		return err
	}
	log := newLogger(settings.Log)
	i, err := instance.New(settings, log)
	if err != nil {
		return err
	}
	i.Start()
	return supervise(ctx, i, log)
}

// supervise runs until SIGTERM or SIGINT, and logs the state on SIGUSR1.
func supervise(ctx context.Context, i *instance.Instance, log *slog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for {
		select {
		case err := <-i.Failed():
			i.Kill()
			return err
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				return shutDown(ctx, i, signals)
			}
			dump, err := json.Marshal(i.Dump())
			log.Info("state", "dump", json.RawMessage(dump), "error", err)
		}
	}
}

// shutDown shuts the instance down gracefully. A second SIGTERM or SIGINT aborts the
// requests that are still in flight.
func shutDown(ctx context.Context, i *instance.Instance, signals <-chan os.Signal) error {
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	stopped := make(chan error, 1)
	go func() { stopped <- i.Stop(ctx) }()
	for {
		select {
		case err := <-stopped:
			return err
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				abort()
			}
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
