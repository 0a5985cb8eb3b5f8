package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	// watchCut is after which time the store cuts a waiting watch.
	watchCut = time.Second
	// lingerTime is how long the worker serves after its entry was removed.
	lingerTime = 16 * time.Second
)

// playDrain lets a worker leave that never reports draining: its entry is removed, and it serves on. Meanwhile the
// store cuts the watches that wait.
func playDrain(run *caseRun) (string, error) {
	const deadline = 6 * time.Second
	run.configure(
		route("status-check", "idempotent", ledger, 3*time.Second, 2, false),
		route("withdraw-order", "non_idempotent", ledger, 3*time.Second, 1, false))
	var workers []*worker
	for n := range 3 {
		w, err := startWorker(run, fmt.Sprint("i-ledger-", n), ledger, zone, ledgerSlots)
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	if err := run.startFronts(2); err != nil {
		return "", err
	}
	if run.trouble {
		run.store.cutWatches(watchCut)
		run.record("the store cuts watches that have waited %v", watchCut)
	}
	time.Sleep(contact + time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, f := range run.fronts {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				path, method := "/status-check/work?ms=20", "GET"
				if (i+n)%2 == 0 {
					path, method = "/withdraw-order/work?ms=20", "POST"
				}
				run.send(f.address(), method, path, "", deadline)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaving := workers[0]
	leaving.removeEntry()
	removed := time.Now()
	run.record("the store has confirmed that the entry of %s is removed; the worker serves on", leaving.id)
	time.Sleep(lingerTime)
	close(stop)
	clients.Wait()

	served, late := 0, 0
	var last time.Duration
	for _, a := range run.seen() {
		if a.worker != leaving.id || a.at.Before(removed) {
			served++
			continue
		}
		if after := a.at.Sub(removed); after > drain {
			late++
			last = max(last, after)
		}
	}
	run.record("%d requests reached workers in use, %d watches were cut", served, run.store.cutCount())
	if served < 50 {
		return "", fmt.Errorf("only %d requests were served", served)
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached %s later than %v after its entry was removed, the last after %d ms",
			late, leaving.id, drain, last.Milliseconds()), nil
	}
	return "", nil
}
