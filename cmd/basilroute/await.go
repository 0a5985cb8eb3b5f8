package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/transport/platform"
)

// applied is a document that the store accepted.
type applied struct {
	key  string
	rank int64
}

// rankOf returns the rank that instances give a revision of the store.
func rankOf(ctx context.Context, store *platform.Client, revision int64) (int64, error) {
	kv, err := store.Get(ctx, configwatch.GenerationKey())
	if errors.Is(err, platform.ErrNotFound) {
		return configwatch.Rank(0, revision), nil
	}
	if err != nil {
		return 0, err
	}
	generations, err := configwatch.ParseGenerations(kv.Revision, kv.Value)
	return generations.Rank(revision), err
}

// progress sorts the instances by whether they have documents in force.
type progress struct {
	done    int
	waiting []string // live ones, and unreachable ones that may still be serving
	left    []string // leaving ones, which take no new work
}

func (p progress) all() int { return p.done + len(p.waiting) }

func progressOf(status *operatorapi.Status, documents []applied) progress {
	var p progress
	for _, i := range status.Instances {
		switch {
		case i.State == operatorapi.InstanceStatusStateLeaving:
			p.left = append(p.left, i.ID)
		case i.State == operatorapi.InstanceStatusStateUnreachable:
			p.waiting = append(p.waiting, i.ID+" (unreachable)")
		case !hasAll(&i, documents):
			p.waiting = append(p.waiting, i.ID)
		default:
			p.done++
		}
	}
	return p
}

func hasAll(i *operatorapi.InstanceStatus, documents []applied) bool {
	for _, d := range documents {
		if i.ConfigRevision < d.rank || slices.Contains(i.Rejected, d.key) {
			return false
		}
	}
	return true
}

// awaitInForce waits until every instance has the documents in force. One that
// is unreachable is waited for as long as the time lasts, since it may be serving
// callers with the old ones, and is never counted.
func awaitInForce(ctx context.Context, command *cli.Command, documents []applied) error {
	client, err := openOperator(command)
	if err != nil {
		return err
	}
	out := command.Root().ErrWriter
	var last progress
	for {
		status, err := client.GetStatus(ctx)
		if err == nil {
			last = progressOf(status, documents)
			fmt.Fprintf(out, "\r%d of %d instances have it in force", last.done, last.all())
			if len(last.waiting) == 0 && last.done > 0 {
				fmt.Fprintln(out)
				return nil
			}
		}
		select {
		case <-time.After(waitPause):
		case <-ctx.Done():
			fmt.Fprintln(out)
			return lacking(last, err)
		}
	}
}

func lacking(p progress, err error) error {
	if p.all() == 0 {
		return errors.CombineErrors(errTimeout, err)
	}
	return errors.Wrapf(errTimeout, "not in force on %s", strings.Join(p.waiting, ", "))
}
