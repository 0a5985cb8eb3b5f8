package localfleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a sound request that many callers send alike and that all instances refuse, or run one at a time, because engines
// crashed while they ran it.
func TestEqualSoundRequestsAreServedAfterCrashes(t *testing.T) {
	const (
		callers  = 12
		rounds   = 12
		spacing  = 700 * time.Millisecond // engines are back
		patience = 3 * time.Second        // of a caller, for an answer of 100 ms
	)
	f := startPoisonFleet(t)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range callers {
		i := f.Instances[f.StartOrder[n%len(f.StartOrder)]]
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := f.complete(i, "the same question", 20); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for n := range rounds {
		time.Sleep(spacing)
		i := f.Instances[f.StartOrder[n%len(f.StartOrder)]]
		if _, err := f.complete(i, fmt.Sprintf("the poison %d", n), 10); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(spacing)
	close(stop)
	running.Wait()
	if n := f.crashes(); n < 2 {
		t.Fatalf("%d crashes", n)
	}
	for range 2 {
		for _, id := range f.StartOrder {
			began := time.Now()
			a, err := f.complete(f.Instances[id], "the same question", 20)
			if took := time.Since(began); err != nil || a.Status != http.StatusOK || took > patience {
				t.Errorf("%s: %+v, %v, after %s", id, a, err, took)
			}
		}
	}
}
