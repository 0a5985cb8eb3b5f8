package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost"] = playLost }

// clientKeeps is how many times the time in the directory's answer some clients keep it.
const clientKeeps = 3

// lateOrder is an order that a client sends to a front which is shutting down, in milliseconds.
type lateOrder struct {
	at   time.Duration // after the SIGTERM: later than the 3 s up to which a request may be cut at the end of the grace period
	work time.Duration // that the worker needs for it, to an end within the grace period
}

var orders = []lateOrder{{3300, 4400}, {3600, 4100}, {3900, 3850}, {4200, 3550}, {4400, 3350}, {4600, 3150}}

// playLost sends orders to a front some seconds after its SIGTERM, on new channels to an address that the directory named
// just before. Each order's work ends within the grace period, the route's timeout and the client's deadline.
func playLost(run *caseRun) (string, error) {
	const deadline = 6 * time.Second
	run.configure(route("withdraw-order", "non_idempotent", ledger, deadline, 1, false))
	for n := range 3 {
		if _, err := startWorker(run, fmt.Sprint("i-ledger-", n), ledger, zone, ledgerSlots); err != nil {
			return "", err
		}
	}
	if err := run.startFronts(2); err != nil {
		return "", err
	}
	time.Sleep(contact + time.Second)
	leaving := run.fronts[0]
	addresses, ttl, err := leaving.resolve()
	if err != nil {
		return "", err
	}
	run.record("the directory names %v for %v", addresses, ttl)
	if !slices.Contains(addresses, leaving.address()) || clientKeeps*ttl < orders[len(orders)-1].at*time.Millisecond {
		return "", fmt.Errorf("no client would still use the address: %v for %v", addresses, ttl)
	}
	if o := run.send(leaving.address(), "POST", "/withdraw-order/work?ms=60", "order", deadline); o.status != 200 {
		return "", fmt.Errorf("the order before the SIGTERM got status %d: %v", o.status, o.err)
	}
	began := time.Now()
	if run.trouble {
		leaving.signal(syscall.SIGTERM)
	}
	results, control := make([]outcome, len(orders)), make([]outcome, len(orders))
	var running sync.WaitGroup
	send := func(f *front, o lateOrder, to *outcome) {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(o.at * time.Millisecond)))
			*to = run.send(f.address(), "POST", fmt.Sprintf("/withdraw-order/work?ms=%d", o.work), "order", deadline)
		})
	}
	for i, o := range orders {
		send(leaving, o, &results[i])
		send(run.fronts[1], o, &control[i])
	}
	running.Wait()
	for _, o := range control {
		if o.status != 200 || !o.complete() {
			return "", fmt.Errorf("the same order at the other front got status %d: %v", o.status, o.err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	ran := make(map[string]string)
	for _, a := range run.seen() {
		ran[a.id] = a.worker
	}
	lost := 0
	for _, o := range results {
		if worker := ran[o.id]; worker != "" && !o.complete() {
			lost++
			run.record("lost: order %s was sent %d ms after the SIGTERM and passed on to %s; its channel ended without an answer %d ms after the SIGTERM",
				o.id, o.sent.Sub(began).Milliseconds(), worker, o.ended.Sub(began).Milliseconds())
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d orders were passed on to a worker and their channels ended without an answer", lost, len(orders)), nil
	}
	return "", nil
}
