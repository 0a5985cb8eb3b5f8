package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/transport/platform"
)

func operatorFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "instance", Usage: "URL of an instance's operator address",
		Sources: cli.EnvVars("BASILROUTE_INSTANCE"),
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{Name: "token", Usage: "operator's token", Sources: cli.EnvVars("BASILROUTE_TOKEN")}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"}
}

type operatorToken string

// Token implements operatorapi.SecuritySource.
func (t operatorToken) Token(context.Context, operatorapi.OperationName) (operatorapi.Token, error) {
	return operatorapi.Token{Token: string(t)}, nil
}

func openOperator(command *cli.Command) (*operatorapi.Client, error) {
	if command.String("instance") == "" {
		return nil, errors.New("--instance is required")
	}
	return operatorapi.NewClient(command.String("instance"), operatorToken(command.String("token")))
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the fleet as one instance sees it",
		Flags: []cli.Flag{operatorFlag(), tokenFlag(), outputFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			client, err := openOperator(command)
			if err != nil {
				return err
			}
			status, err := client.GetStatus(ctx)
			if err != nil {
				return errors.Wrap(err, "status")
			}
			return printStatus(command, status)
		},
	}
}

func printStatus(command *cli.Command, status *operatorapi.Status) error {
	out := command.Root().Writer
	if command.String("output") == "json" {
		encoded, err := status.MarshalJSON()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", encoded)
		return err
	}
	fmt.Fprintf(out, "%s: ready %t, configuration %d, store reachable %t\n",
		status.ID, status.Ready, status.ConfigRevision, status.StoreReachable)
	for _, finding := range status.Findings {
		fmt.Fprintf(out, "finding: %s\n", finding)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tREGION\tDOMAIN\tSTATE\tCONFIGURATION\tHEARD")
	for _, i := range status.Instances {
		heard := time.Duration(i.AgeMs) * time.Millisecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s ago\n", i.ID, i.Region, i.Domain, i.State, i.ConfigRevision, heard)
	}
	return table.Flush()
}

func stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "look into an instance",
		Commands: []*cli.Command{{
			Name: "dump", Usage: "print the instance's state as JSON",
			Flags: []cli.Flag{operatorFlag(), tokenFlag()},
			Action: func(ctx context.Context, command *cli.Command) error {
				client, err := openOperator(command)
				if err != nil {
					return err
				}
				dump, err := client.DumpState(ctx)
				if err != nil {
					return errors.Wrap(err, "state dump")
				}
				_, err = fmt.Fprintf(command.Root().Writer, "%s\n", dump)
				return err
			},
		}},
	}
}

type callerKey string

// Key implements gatewayapi.SecuritySource.
func (k callerKey) Key(context.Context, gatewayapi.OperationName) (gatewayapi.Key, error) {
	return gatewayapi.Key{Token: string(k)}, nil
}

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name: "entries", Usage: "ask which instances a caller should use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true, Usage: "URL of any instance for callers"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "the caller's key", Sources: cli.EnvVars("BASILROUTE_KEY")},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			client, err := gatewayapi.NewClient(command.String("url"), callerKey(command.String("key")))
			if err != nil {
				return err
			}
			list, err := client.ListEntries(ctx)
			if err != nil {
				return errors.Wrap(err, "entries")
			}
			for _, e := range list.Entries {
				fmt.Fprintf(command.Root().Writer, "%s\t%s\t%s\n", e.Address, e.Region, e.Domain)
			}
			return nil
		},
	}
}

func keysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "issue and withdraw callers' keys",
		Commands: []*cli.Command{
			{
				Name: "issue", Usage: "add a key to a client account and print it once", ArgsUsage: "ACCOUNT KEY-ID",
				Flags: []cli.Flag{platformFlag()}, Action: issueKey,
			},
			{
				Name: "withdraw", Usage: "make a key unusable for good", ArgsUsage: "KEY-ID",
				Flags: []cli.Flag{operatorFlag(), tokenFlag()}, Action: withdrawKey,
			},
		},
	}
}

func issueKey(ctx context.Context, command *cli.Command) error {
	account, id := command.Args().Get(0), command.Args().Get(1)
	store, err := openStore(command)
	if err != nil {
		return err
	}
	if _, err := store.Get(ctx, service.StoreKey(configwatch.KindWithdrawn, id)); err == nil {
		return errors.Newf("key id %s was withdrawn and cannot be issued again", id)
	}
	name := service.StoreKey(service.KindAccount, account)
	current, err := store.Get(ctx, name)
	if err != nil {
		return errors.Wrapf(err, "account %s", account)
	}
	presented, key := catalog.NewKey(id)
	next := addKey(string(current.Value), key)
	if _, err := service.Parse(account, []byte(next)); err != nil {
		return err
	}
	if _, err := store.Put(ctx, platform.Write{Key: name, Value: []byte(next), Expect: current.Revision}); err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.Root().Writer, presented)
	return err
}

// addKey writes the key into the text of an account document and keeps the rest
// as its team wrote it.
func addKey(document string, key service.Key) string {
	item := fmt.Sprintf("  - id: %s\n    sha256: %s\n", key.ID, key.SHA256)
	var b strings.Builder
	found := false
	for line := range strings.Lines(document) {
		if !found && strings.HasPrefix(line, "keys:") {
			found = true
			b.WriteString("keys:\n" + item)
			continue
		}
		b.WriteString(line)
	}
	if found {
		return b.String()
	}
	return strings.TrimRight(document, "\n") + "\nkeys:\n" + item
}

func withdrawKey(ctx context.Context, command *cli.Command) error {
	client, err := openOperator(command)
	if err != nil {
		return err
	}
	done, err := client.WithdrawKey(ctx, operatorapi.WithdrawKeyParams{ID: command.Args().First()})
	if err != nil {
		return errors.Wrap(err, "withdraw")
	}
	fmt.Fprintf(command.Root().Writer, "%s: withdrawn here and on %d peers, in the store: %t\n", done.ID, done.Peers, done.Stored)
	return nil
}
