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
	key      string
	revision int64 // of the store
}

// revisionBefore returns the newest configuration that any instance has in force
// before a write; 0 without --wait.
func revisionBefore(ctx context.Context, command *cli.Command) (int64, error) {
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

// neededRank returns the rank that an instance has to have reached to have the
// documents in force. A write that ranks below what was in force before it shows
// that the store came back older: the documents then come with the store's next
// generation, which ok says has begun.
func neededRank(ctx context.Context, store *platform.Client, documents []applied, before int64) (need int64, ok bool, err error) {
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
	done    int
	waiting []string // live ones, and unreachable ones that may still be serving
	left    []string // leaving ones, which take no new work
}

func (p progress) all() int { return p.done + len(p.waiting) }

func progressOf(status *operatorapi.Status, documents []applied, need int64) progress {
	var p progress
	for _, i := range status.Instances {
		switch {
		case i.State == operatorapi.InstanceStatusStateLeaving:
			p.left = append(p.left, i.ID)
		case i.State == operatorapi.InstanceStatusStateUnreachable:
			p.waiting = append(p.waiting, i.ID+" (unreachable)")
		case i.ConfigRevision < need || rejects(&i, documents):
			p.waiting = append(p.waiting, i.ID)
		default:
			p.done++
		}
	}
	return p
}

func rejects(i *operatorapi.InstanceStatus, documents []applied) bool {
	for _, d := range documents {
		if slices.Contains(i.Rejected, d.key) {
			return true
		}
	}
	return false
}

// awaitInForce waits until every instance has the documents in force. One that
// is unreachable is waited for as long as the time lasts, since it may be serving
// callers with the old ones, and is never counted.
func awaitInForce(ctx context.Context, command *cli.Command, store *platform.Client, documents []applied, before int64) error {
	client, err := openOperator(command)
	if err != nil {
		return err
	}
	out := command.Root().ErrWriter
	var last progress
	for {
		need, begun, err := neededRank(ctx, store, documents, before)
		var seen progress
		if err == nil && begun {
			seen, err = look(ctx, client, documents, need)
		}
		if err == nil && begun { // otherwise what was seen last is what there is to tell
			last = seen
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

func look(ctx context.Context, client *operatorapi.Client, documents []applied, need int64) (progress, error) {
	status, err := client.GetStatus(ctx)
	if err != nil {
		return progress{}, err
	}
	return progressOf(status, documents, need), nil
}

func lacking(p progress, err error) error {
	if p.all() == 0 {
		return errors.CombineErrors(errTimeout, err)
	}
	text := fmt.Sprintf("not in force on %s", strings.Join(p.waiting, ", "))
	if len(p.left) > 0 {
		text += "; leaving: " + strings.Join(p.left, ", ")
	}
	return errors.Wrap(errTimeout, text)
}
