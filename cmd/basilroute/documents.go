package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/platform"
	"github.com/basilroute/basilroute/yamldoc"
)

const (
	storeTimeout       = 5 * time.Second
	applyTimeout       = 30 * time.Second
	statusPollInterval = 200 * time.Millisecond
)

func platformFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "platform", Usage: "URL of the platform's services", Required: true,
		Sources: cli.EnvVars("BASILROUTE_PLATFORM"),
	}
}

func openStore(command *cli.Command) (*platform.Client, error) {
	return platform.New(platform.Settings{
		URL: command.String("platform"), CallTimeout: storeTimeout, CallRate: 100, CallBurst: 100,
	}, newHTTPClient(nil).Transport)
}

// readDocuments parses every file and reports the findings of all of them.
func readDocuments(files []string) ([]*service.Document, [][]byte, error) {
	if len(files) == 0 {
		return nil, nil, errors.New("name at least one document")
	}
	var documents []*service.Document
	var contents [][]byte
	var all yamldoc.Findings
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, errors.Wrap(err, "document")
		}
		d, err := service.Parse(file, data)
		var findings yamldoc.Findings
		if errors.As(err, &findings) {
			all = append(all, findings...)
			continue
		}
		documents, contents = append(documents, d), append(contents, data)
	}
	if len(all) > 0 {
		return nil, nil, all
	}
	return documents, contents, nil
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check documents and print every finding with its line and column", ArgsUsage: "FILE...",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "instance", Usage: "the files hold instance settings"}},
		Action: func(_ context.Context, command *cli.Command) error {
			files := command.Args().Slice()
			if command.Bool("instance") {
				return validateSettings(files)
			}
			documents, _, err := readDocuments(files)
			if err != nil {
				return err
			}
			for _, d := range documents {
				fmt.Fprintf(command.Root().Writer, "%s %s: valid\n", d.Kind, d.Name)
			}
			return nil
		},
	}
}

func validateSettings(files []string) error {
	var all yamldoc.Findings
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "settings")
		}
		_, err = instance.ParseSettings(file, data)
		var findings yamldoc.Findings
		if errors.As(err, &findings) {
			all = append(all, findings...)
		}
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "bring documents into force", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			platformFlag(), operatorFlag(), tokenFlag(), caFlag(),
			&cli.Int64Flag{Name: "expect", Value: -1, Usage: "revision that the stored document must have (default: its current revision)"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every instance has the documents in force (needs --instance)"},
			&cli.DurationFlag{Name: "timeout", Value: applyTimeout, Usage: "how long to wait"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, command *cli.Command) error {
	documents, contents, err := readDocuments(command.Args().Slice())
	if err != nil {
		return err
	}
	store, err := openStore(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	before, err := newestRevisionInForce(ctx, command)
	if err != nil {
		return err
	}
	accepted := make([]acceptedDocument, len(documents))
	for n, d := range documents {
		revision, err := putDocument(ctx, store, d, contents[n], command.Int64("expect"))
		if err != nil {
			return errors.Wrapf(err, "%s %s", d.Kind, d.Name)
		}
		accepted[n] = acceptedDocument{key: d.Key(), revision: revision}
		fmt.Fprintf(command.Root().Writer, "%s %s: accepted at revision %d\n", d.Kind, d.Name, revision)
	}
	if command.Bool("wait") {
		return awaitInForce(ctx, command, store, accepted, before)
	}
	return nil
}

func putDocument(ctx context.Context, store *platform.Client, d *service.Document, content []byte, expect int64) (int64, error) {
	current, err := readCurrent(ctx, store, d.Key())
	if err != nil {
		return 0, err
	}
	if expect < 0 {
		expect = current.Revision
	}
	return store.Put(ctx, platform.Write{Key: d.Key(), Value: content, ExpectRevision: expect, AfterNonce: current.Nonce})
}

// readCurrent reads what a write of the key replaces: a value or a deletion. A deletion
// counts as revision 0, but the nonce of the write has to be newer than its nonce.
func readCurrent(ctx context.Context, store *platform.Client, key string) (platform.KeyValue, error) {
	current, err := store.Get(ctx, key)
	if !errors.Is(err, platform.ErrNotFound) {
		return current, err
	}
	changes, _, err := store.List(ctx, key, 1)
	if err != nil {
		return platform.KeyValue{}, err
	}
	for _, kv := range changes {
		if kv.Key == key && kv.Deleted {
			return platform.KeyValue{Nonce: kv.Nonce}, nil
		}
	}
	return platform.KeyValue{}, nil
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print a document as it is stored", ArgsUsage: "KIND [NAME]",
		Flags: []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			store, err := openStore(command)
			if err != nil {
				return err
			}
			kind, name := service.Kind(command.Args().Get(0)), command.Args().Get(1)
			if name == "" {
				return listDocuments(ctx, command, store, kind)
			}
			kv, err := store.Get(ctx, service.StoreKey(kind, name))
			if err != nil {
				return errors.Wrapf(err, "%s %s", kind, name)
			}
			fmt.Fprintf(command.Root().ErrWriter, "# revision %d\n", kv.Revision)
			_, err = command.Root().Writer.Write(kv.Value)
			return err
		},
	}
}

func listDocuments(ctx context.Context, command *cli.Command, store *platform.Client, kind service.Kind) error {
	list, _, err := store.List(ctx, service.StoreKey(kind, ""), 0)
	if err != nil {
		return err
	}
	for _, kv := range list {
		kind, name, _ := service.SplitKey(kv.Key)
		fmt.Fprintf(command.Root().Writer, "%s\t%s\t%d\n", kind, name, kv.Revision)
	}
	return nil
}
