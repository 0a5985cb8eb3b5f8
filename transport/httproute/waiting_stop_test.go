package httproute

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/coordination/waitqueue"
)

// Guards against a request that may have run and is refused as not run: the waiting requests of
// an instance that stops were refused with one failure, to which each of them writes whether it ran.
func TestWaitingRequestsAreRefusedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service = "svc"
		waiting := &Waiting{Metrics: NewMetrics(prometheus.NewRegistry()), MaxBytes: 1}
		latest := time.Now().Add(time.Minute)
		failures := make(chan *failure)
		for range 2 {
			go func() {
				failures <- waiting.await(t.Context(), service, waitqueue.Request{OnTime: latest, Latest: latest},
					func(time.Time, tryOptions) (tryResult, *failure) { return notPlaced, nil })
			}()
		}
		synctest.Wait()
		waiting.Refuse()
		first, second := <-failures, <-failures
		if first == second {
			t.Error("two requests have the same failure")
		}
		for _, failed := range []*failure{first, second} {
			if failed.reason != reasonStopping || failed.run != runNotRun {
				t.Errorf("refused as %s, %s", failed.reason, failed.run)
			}
		}
	})
}
