package main

import (
	"context"
	"io/fs"
	"log/slog"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/examples"
	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/loadgen"
	"github.com/basilroute/basilroute/localfleet"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

const (
	deployTimeout = 30 * time.Second
	mixFile       = "load.yaml"
)

// deployments are the sizes of the example deployments: the entry instances and
// backend servers of each failure domain.
var deployments = map[string]localfleet.Config{
	"recall-desk": {
		ModelService: "notice-writer", PlainService: "recall-ledger",
		Domains: []localfleet.Domain{
			{Region: "suva-a", Name: "suva-a-1", Instances: 2, Engines: 3, PlainServers: 1},
			{Region: "suva-a", Name: "suva-a-2", Instances: 2, Engines: 3},
			{Region: "labasa-a", Name: "labasa-a-1", Instances: 1, Engines: 2, PlainServers: 1},
			{Region: "labasa-a", Name: "labasa-a-2", Instances: 1, Engines: 2},
			{Region: "lakeba-a", Name: "lakeba-a-1", Instances: 2, Engines: 2, PlainServers: 1},
		},
	},
	"guild": {
		ModelService: "basil-lm", PlainService: "guild-desk",
		Domains: []localfleet.Domain{
			{Region: "fraser-a", Name: "fraser-a-1", Instances: 2, Engines: 3, PlainServers: 1},
			{Region: "fraser-a", Name: "fraser-a-2", Instances: 2, Engines: 3},
			{Region: "okanagan-a", Name: "okanagan-a-1", Instances: 2, Engines: 2, PlainServers: 1},
			{Region: "island-a", Name: "island-a-1", Instances: 2, Engines: 2, PlainServers: 1},
		},
	},
}

func deploymentFiles(name string) (fs.FS, error) {
	if _, ok := deployments[name]; !ok {
		return nil, errors.Newf("want one of %v, have %q", examples.Names(), name)
	}
	return examples.Files(name)
}

func deploymentMix(name string) (string, []byte, error) {
	files, err := deploymentFiles(name)
	if err != nil {
		return "", nil, err
	}
	data, err := fs.ReadFile(files, mixFile)
	return name + "/" + mixFile, data, err
}

// startDeployment runs an example deployment in this process and issues a new key to
// each account of the mix. It returns the instances' URLs for callers.
func startDeployment(ctx context.Context, name string, mix *loadgen.Mix) (*localfleet.Fleet, []string, error) {
	files, err := deploymentFiles(name)
	if err != nil {
		return nil, nil, err
	}
	documents, err := exampleDocuments(files)
	if err != nil {
		return nil, nil, err
	}
	config := deployments[name]
	config.Engine, config.Log = engine.DefaultConfig(), slog.New(slog.DiscardHandler)
	fleet, err := startFleet(ctx, config, documents, mix)
	if err != nil {
		return nil, nil, err
	}
	var seeds []string
	for _, id := range fleet.StartOrder {
		callers, _, _ := fleet.Instances[id].Addresses()
		seeds = append(seeds, "http://"+callers)
	}
	return fleet, seeds, nil
}

// exampleDocuments returns the texts of a deployment's documents.
func exampleDocuments(files fs.FS) ([]string, error) {
	var documents []string
	err := fs.WalkDir(files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path == mixFile || strings.HasPrefix(path, "instances/") {
			return err
		}
		data, err := fs.ReadFile(files, path)
		documents = append(documents, string(data))
		return err
	})
	return documents, err
}

// startFleet runs a fleet, issues the mix's keys, applies the documents and
// waits until every instance has them in force.
func startFleet(ctx context.Context, config localfleet.Config, documents []string, mix *loadgen.Mix) (*localfleet.Fleet, error) {
	fleet, err := localfleet.Start(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, deployTimeout)
	defer cancel()
	if err := deploy(ctx, fleet, documents, mix); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

func deploy(ctx context.Context, fleet *localfleet.Fleet, documents []string, mix *loadgen.Mix) error {
	for _, document := range documents {
		if err := fleet.Apply(ctx, withLoadKey(document, mix)); err != nil {
			return err
		}
	}
	return fleet.Await(ctx, func(i *instance.Instance) bool {
		if !i.Ready() {
			return false
		}
		for _, a := range mix.Accounts {
			for _, q := range a.Requests {
				if !i.Serves(q.Service) {
					return false
				}
			}
		}
		return true
	})
}

// withLoadKey adds a new key to the document of an account in the mix.
func withLoadKey(document string, mix *loadgen.Mix) string {
	d, err := service.Parse("", []byte(document))
	if err != nil || d.Account == nil {
		return document // an invalid one is reported when it is applied
	}
	for i := range mix.Accounts {
		if a := &mix.Accounts[i]; a.Name == d.Name {
			presented, key := catalog.NewKey(a.Name + "-load")
			a.Key = presented
			return addKey(document, key)
		}
	}
	return document
}
