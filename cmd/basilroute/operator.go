package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httpbound"
	"github.com/basilroute/basilroute/transport/tlsconf"
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

func caFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "ca", Usage: "file with the CA certificates that verify the instance's certificate",
		Sources: cli.EnvVars("BASILROUTE_CA"),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"}
}

type operatorToken string

// Token implements operatorapi.SecuritySource.
func (t operatorToken) Token(context.Context, operatorapi.OperationName) (operatorapi.Token, error) {
	return operatorapi.Token{Token: string(t)}, nil
}

// newHTTPClient returns a client for a command's calls. dialTLS may be nil.
func newHTTPClient(dialTLS backendhttp.DialFunc) *http.Client {
	return &http.Client{Transport: backendhttp.NewRoundTripper(backendhttp.Settings{MaxHead: httpbound.MaxHead}, dialTLS)}
}

func openOperator(command *cli.Command) (*operatorapi.Client, error) {
	if command.String("instance") == "" {
		return nil, errors.New("--instance is required")
	}
	var dialTLS backendhttp.DialFunc
	if file := command.String("ca"); file != "" {
		source, err := tlsconf.Open(tlsconf.Files{CA: file})
		if err != nil {
			return nil, err
		}
		dialTLS = source.Dial
	}
	client := newHTTPClient(dialTLS)
	return operatorapi.NewClient(command.String("instance"), operatorToken(command.String("token")), operatorapi.WithClient(client))
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the fleet as one instance sees it",
		Flags: []cli.Flag{operatorFlag(), tokenFlag(), caFlag(), outputFlag()},
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
	fmt.Fprintf(out, "%s: ready %t, configuration %s, store reachable %t\n",
		status.ID, status.Ready, configwatch.FormatRank(status.ConfigRevision), status.StoreReachable)
	for _, finding := range status.Findings {
		fmt.Fprintf(out, "finding: %s\n", finding)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tREGION\tDOMAIN\tSTATE\tCONFIGURATION\tREJECTED\tHEARD")
	for _, i := range status.Instances {
		lastContact := time.Duration(i.AgeMs) * time.Millisecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s ago\n", i.ID, i.Region, i.Domain, i.State,
			configwatch.FormatRank(i.ConfigRevision), cmp.Or(strings.Join(i.Rejected, " "), "-"), lastContact)
	}
	return table.Flush()
}

func stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "inspect the state of an instance",
		Commands: []*cli.Command{{
			Name: "dump", Usage: "print the instance's state as JSON",
			Flags: []cli.Flag{operatorFlag(), tokenFlag(), caFlag()},
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
		Name: "entries", Usage: "list the instances that a caller should use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true, Usage: "URL of any instance for callers"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "the caller's key", Sources: cli.EnvVars("BASILROUTE_KEY")},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			client, err := gatewayapi.NewClient(command.String("url"), callerKey(command.String("key")), gatewayapi.WithClient(newHTTPClient(nil)))
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
