package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/transport/platform"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "issue, withdraw and list callers' keys",
		Commands: []*cli.Command{
			{
				Name: "issue", Usage: "add a key to a client account and print it once", ArgsUsage: "ACCOUNT KEY-ID",
				Flags: []cli.Flag{platformFlag()}, Action: issueKey,
			},
			{
				Name: "withdraw", Usage: "withdraw a key permanently", ArgsUsage: "KEY-ID",
				Flags: []cli.Flag{operatorFlag(), tokenFlag(), caFlag()}, Action: withdrawKey,
			},
			{
				Name: "list", Usage: "print the keys in the store, of one client account or of all", ArgsUsage: "[ACCOUNT]",
				Flags: []cli.Flag{platformFlag()}, Action: listKeys,
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
	if _, err := store.Put(ctx, platform.Write{Key: name, Value: []byte(next), ExpectRevision: current.Revision, AfterNonce: current.Nonce}); err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.Root().Writer, presented)
	return err
}

// addKey inserts the key into the text of an account document and keeps the rest of
// the text unchanged.
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
	fmt.Fprintf(command.Root().Writer, "%s: withdrawn on this instance and on %d peers, stored: %t\n", done.ID, done.Peers, done.Stored)
	return nil
}

// listKeys prints each key with its account. The id of a withdrawn key stays in the
// list permanently, since it cannot be issued again.
func listKeys(ctx context.Context, command *cli.Command) error {
	store, err := openStore(command)
	if err != nil {
		return err
	}
	stored, _, err := store.List(ctx, service.KeyPrefix, 0)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(command.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tACCOUNT\tSTATE")
	for _, row := range keyRows(stored, command.Args().First()) {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func keyRows(stored []platform.KeyValue, account string) [][]string {
	state, owner := make(map[string]string), make(map[string]string)
	for _, kv := range stored {
		kind, name, _ := service.SplitKey(kv.Key)
		switch kind {
		case configwatch.KindWithdrawn:
			state[name] = "withdrawn"
		case service.KindAccount:
			d, err := service.Parse(kv.Key, kv.Value)
			if err != nil || d.Account == nil {
				continue // the status command shows the finding
			}
			for _, key := range d.Account.Keys {
				owner[key.ID] = name
			}
		}
	}
	var rows [][]string
	for id, name := range owner {
		if account == "" || account == name {
			rows = append(rows, []string{id, name, cmp.Or(state[id], "valid")})
		}
	}
	for id := range state {
		if owner[id] == "" && account == "" {
			rows = append(rows, []string{id, "-", state[id]})
		}
	}
	slices.SortFunc(rows, func(a, b []string) int { return slices.Compare(a, b) })
	return rows
}
