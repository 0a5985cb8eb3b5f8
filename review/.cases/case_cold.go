package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["cold"] = playCold }

const (
	// coldRate, coldExcess and coldSlack are the recall desk's figures for a cold worker.
	coldRate   = 2.6
	coldExcess = 1.5
	coldSlack  = 3.0
	coldTime   = 3 * time.Second
	// coldLag is how long the fronts are given to learn that a worker is cold.
	coldLag = 500 * time.Millisecond
	// rollGap is the time between the SIGTERMs of two fronts.
	rollGap = time.Second
	// streamsPerSecond is what the clients of the zone send.
	streamsPerSecond = 60
)

// playCold restarts the fronts of a region in turn, while its workers are cold.
func playCold(run *caseRun) (string, error) {
	const deadline = 5 * time.Second
	bound := route("dossier-draft", "streaming", writer, deadline, 2, true)
	bound["home_regions"] = []string{region}
	run.configure(bound)
	var workers []*worker
	for n := range 4 {
		w, err := startWorker(run, fmt.Sprint("i-writer-", n), writer, zone, writerSlots)
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	if err := run.startFronts(3); err != nil {
		return "", err
	}
	time.Sleep(contact + time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	clients.Go(func() {
		tick := time.NewTicker(time.Second / streamsPerSecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			clients.Go(func() {
				o := run.send(run.fronts[i%len(run.fronts)].address(), "POST", "/dossier-draft/stream", fmt.Sprint("prompt ", i), deadline)
				if o.status == 200 && o.complete() {
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	began := time.Now()
	clients.Go(func() {
		time.Sleep(2*rollGap - coldLag)
		for _, w := range workers {
			w.becomeCold(coldTime)
		}
		run.record("the workers are cold for %v", coldTime)
	})
	for i, f := range run.fronts {
		time.Sleep(time.Until(began.Add(time.Duration(i) * rollGap)))
		if run.trouble {
			f.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(coldTime)
	close(stop)
	clients.Wait()

	limit := coldRate*coldExcess + coldSlack
	worst, at := 0, ""
	for _, w := range workers {
		from, to := w.coldFrom.Add(coldLag), w.coldFrom.Add(coldTime)
		var times []time.Time
		for _, a := range run.seen() {
			if a.worker == w.id && a.at.After(from) && a.at.Before(to) {
				times = append(times, a.at)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			n := 0
			for _, t := range times[i:] {
				if t.Sub(times[i]) < time.Second {
					n++
				}
			}
			if n > worst {
				worst, at = n, w.id
			}
		}
		run.record("%s got %d requests while it was cold", w.id, len(times))
	}
	run.record("%d streams were served; the most requests that a cold worker got in one second: %d, at %s; allowed: %.1f", served.Load(), worst, at, limit)
	if served.Load() < 100 {
		return "", fmt.Errorf("only %d streams were served", served.Load())
	}
	if float64(worst) > limit {
		return fmt.Sprintf("FAILBACK: the cold worker %s got %d requests in one second, allowed are %.1f", at, worst, limit), nil
	}
	return "", nil
}
