package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/standin/plain"
	"github.com/basilroute/basilroute/standin/platform"
	"github.com/basilroute/basilroute/yamldoc"
)

// standinSettings is the configuration file of the platform stand-in.
type standinSettings struct {
	Instances []listedInstance `yaml:"instances"`
}

type listedInstance struct {
	ID      string `yaml:"id"`
	Role    string `yaml:"role"`
	Region  string `yaml:"region"`
	Domain  string `yaml:"domain"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	Version string `yaml:"version"`
}

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP:port"}
	return &cli.Command{
		Name: "standin", Usage: "run a stand-in of an external system, with faults set on /admin/faults",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "key-value service, list of instances, directory",
				Flags:  []cli.Flag{listen, &cli.StringFlag{Name: "config", Usage: "YAML file with the instances to list"}},
				Action: runPlatform,
			},
			{
				Name: "engine", Usage: "model engine",
				Flags:  []cli.Flag{listen, &cli.StringFlag{Name: "version", Value: "v1", Usage: "model version"}},
				Action: runEngine,
			},
			{Name: "plain", Usage: "plain service that counts its operations", Flags: []cli.Flag{listen}, Action: runPlain},
		},
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	server := platform.New()
	defer server.Close()
	if file := command.String("config"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "settings")
		}
		var settings standinSettings
		if err := yamldoc.Decode(file, data, &settings).Err(); err != nil {
			return err
		}
		for _, i := range settings.Instances {
			server.SetInstance(i.encode())
		}
	}
	handler, err := server.Handler()
	if err != nil {
		return err
	}
	return serve(ctx, command.String("listen"), handler)
}

func (i listedInstance) encode() platformapi.Instance {
	return platformapi.Instance{
		ID: i.ID, Role: platformapi.InstanceRole(i.Role), Region: i.Region, Domain: i.Domain, Address: i.Address,
		Service: platformapi.NewOptString(i.Service), Version: platformapi.NewOptString(i.Version),
		State: platformapi.InstanceStateLive,
	}
}

func runEngine(ctx context.Context, command *cli.Command) error {
	config := engine.DefaultConfig()
	config.Version = command.String("version")
	e := engine.New(config)
	defer e.Close()
	handler, err := e.Handler()
	if err != nil {
		return err
	}
	return serve(ctx, command.String("listen"), handler)
}

func runPlain(ctx context.Context, command *cli.Command) error {
	handler, err := plain.New().Handler()
	if err != nil {
		return err
	}
	return serve(ctx, command.String("listen"), handler)
}

const standinHeaderTimeout = 10 * time.Second

func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
