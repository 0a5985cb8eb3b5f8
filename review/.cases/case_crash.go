package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	poisonInterval = 2 * time.Second
	poisonTime     = 40 * time.Second
	soundInterval  = 50 * time.Millisecond // between the sound streams
	// retriesAllowed is how many retries of a request that crashes workers may reach workers.
	retriesAllowed = 3
)

// playCrash sends a request again and again that crashes each worker that runs it, just after its first event.
func playCrash(run *caseRun) (string, error) {
	const deadline = 5 * time.Second
	run.configure(
		route("dossier-draft", "streaming", writer, deadline, 2, true),
		route("member-query", "streaming", writer, deadline, 1, false))
	var workers []*worker
	for n := range 5 {
		w, err := startWorker(run, fmt.Sprint("i-writer-", n), writer, zone, writerSlots)
		if err != nil {
			return "", err
		}
		w.crashesOn, w.beforeEvents = run.trouble, os.Getenv("CRASH") == "before"
		workers = append(workers, w)
	}
	if err := run.startFronts(2); err != nil {
		return "", err
	}
	time.Sleep(contact + time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sound, cut atomic.Int64
	clients.Go(func() {
		tick := time.NewTicker(soundInterval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			clients.Go(func() {
				o := run.send(run.fronts[i%2].address(), "POST", "/member-query/stream", fmt.Sprint("question ", i), deadline)
				if sound.Add(1); !o.complete() || o.status == http.StatusBadGateway {
					cut.Add(1)
				}
			})
		}
	})
	sent := make(map[string]time.Time)
	var thirdCrash time.Time
	for end := time.Now().Add(poisonTime); time.Now().Before(end); time.Sleep(poisonInterval) {
		o := run.send(run.fronts[len(sent)%2].address(), "POST", "/dossier-draft/poison", "the prompt that crashes workers", deadline)
		sent[o.id] = o.sent
		if thirdCrash.IsZero() && crashes(workers) >= 3 {
			thirdCrash = time.Now()
			run.record("the request has crashed a third worker")
		}
	}
	close(stop)
	clients.Wait()

	reached := make(map[string]bool)
	for _, a := range run.seen() {
		if at, ok := sent[a.id]; ok && !thirdCrash.IsZero() && at.After(thirdCrash.Add(contact)) {
			reached[a.id] = true
		}
	}
	run.record("the request crashed workers %d times; of %d sound streams %d were lost", crashes(workers), sound.Load(), cut.Load())
	if len(reached) > retriesAllowed {
		return fmt.Sprintf("BUDGET: %d retries of the request that crashes workers reached workers, sent later than %v after it had crashed the third; "+
			"it has crashed workers %d times, and %d of %d sound streams were lost", len(reached), contact, crashes(workers), cut.Load(), sound.Load()), nil
	}
	return "", nil
}

func crashes(workers []*worker) (sum int) {
	for _, w := range workers {
		sum += w.crashCount()
	}
	return sum
}
