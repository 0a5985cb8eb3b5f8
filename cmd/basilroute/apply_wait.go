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

// acceptedDocument is a document whose write the store accepted.
type acceptedDocument struct {
	key      string
	revision int64 // of the store
}

// newestRevisionInForce returns the newest configuration revision that any instance
// has in force before a write; 0 without --wait.
func newestRevisionInForce(ctx context.Context, command *cli.Command) (int64, error) {
	if !command.Bool("wait") {
		return 0, nil
	}
	client, err := openOperator(command)
	if err != nil {
		return 0, err
	}
	status, err := client.GetStatus(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "status")
	}
	var newest int64
	for _, i := range status.Instances {
		newest = max(newest, i.ConfigRevision)
	}
	return newest, nil
}

// requiredRank returns the configuration rank at which an instance has the documents in
// force. A write that ranks no higher than what was in force before it shows that the
// store was restored from an older state: the documents are then distributed with the
// store's next generation. ok reports whether that generation has begun.
func requiredRank(ctx context.Context, store *platform.Client, documents []acceptedDocument, before int64) (need int64, ok bool, err error) {
	generations := configwatch.Generations{}
	kv, err := store.Get(ctx, configwatch.GenerationKey())
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return 0, false, err
	default:
		if generations, err = configwatch.ParseGenerations(kv.Revision, kv.Value); err != nil {
			return 0, false, err
		}
	}
	for _, d := range documents {
		rank := generations.Rank(d.revision)
		if rank <= before {
			rank = generations.Rank(generations.Revision)
		}
		need = max(need, rank)
	}
	return need, need > before, nil
}

// progress sorts the instances by whether they have documents in force.
type progress struct {
	inForce int
	waiting []string // live instances, and unreachable ones that may still be serving
	leaving []string // leaving instances, which accept no new work
}

func (p progress) total() int { return p.inForce + len(p.waiting) }

func progressOf(status *operatorapi.Status, documents []acceptedDocument, need int64) progress {
	var p progress
	for _, i := range status.Instances {
		switch {
		case i.State == operatorapi.InstanceStatusStateLeaving:
			p.leaving = append(p.leaving, i.ID)
		case i.State == operatorapi.InstanceStatusStateUnreachable:
			p.waiting = append(p.waiting, i.ID+" (unreachable)")
		case i.ConfigRevision < need || rejectsAny(&i, documents):
			p.waiting = append(p.waiting, i.ID)
		default:
			p.inForce++
		}
	}
	return p
}

func rejectsAny(i *operatorapi.InstanceStatus, documents []acceptedDocument) bool {
	for _, d := range documents {
		if slices.Contains(i.Rejected, d.key) {
			return true
		}
	}
	return false
}

// awaitInForce waits until every instance has the documents in force. An unreachable
// instance may still be serving callers with the old documents: it never counts as
// done and is waited for until the timeout.
func awaitInForce(ctx context.Context, command *cli.Command, store *platform.Client, documents []acceptedDocument, before int64) error {
	client, err := openOperator(command)
	if err != nil {
		return err
	}
	out := command.Root().ErrWriter
	var last progress
	for {
		need, begun, err := requiredRank(ctx, store, documents, before)
		var seen progress
		if err == nil && begun {
			seen, err = fetchProgress(ctx, client, documents, need)
		}
		if err == nil && begun { // otherwise the last known progress is reported
			last = seen
			fmt.Fprintf(out, "\r%d of %d instances have it in force", last.inForce, last.total())
			if len(last.waiting) == 0 && last.inForce > 0 {
				fmt.Fprintln(out)
				return nil
			}
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			fmt.Fprintln(out)
			return notInForceError(last, err)
		}
	}
}

func fetchProgress(ctx context.Context, client *operatorapi.Client, documents []acceptedDocument, need int64) (progress, error) {
	status, err := client.GetStatus(ctx)
	if err != nil {
		return progress{}, err
	}
	return progressOf(status, documents, need), nil
}

func notInForceError(p progress, err error) error {
	if p.total() == 0 {
		return errors.CombineErrors(errTimeout, err)
	}
	text := fmt.Sprintf("not in force on %s", strings.Join(p.waiting, ", "))
	if len(p.leaving) > 0 {
		text += "; leaving: " + strings.Join(p.leaving, ", ")
	}
	return errors.Wrap(errTimeout, text)
}
