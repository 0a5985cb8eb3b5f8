package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

func newTestAdmission(t *testing.T) (*Admission, *service.Service) {
	t.Helper()
	table := servers.New()
	table.Replace([]servers.Identity{{ID: "s1", Service: "ledger"}}, time.Now())
	table.Report("ledger", "s1", servers.Load{At: time.Now(), BootID: "boot"})
	table.Entry("ledger", "s1").SetLimit(1, 1)
	svc := &service.Service{Name: "ledger", Limits: service.Limits{Queue: 10, Concurrency: 8},
		Operations: map[string]service.Operation{"order": {Cost: 1}}}
	return NewAdmission(table), svc
}

func orderWork(wait time.Duration) *Work {
	return &Work{
		Account: "grocers", Service: "ledger", Class: service.ClassInteractive, MaxWait: wait,
		Deadline: time.Now().Add(time.Hour), Operation: &Operation{Name: "order"},
	}
}

// Three callers wait for the only slot. One disconnects, one reaches its maximum wait:
// both are refused as not run and hold nothing. The third starts when the slot is
// released, and not before.
func TestWaitEndsOnCancelTimeoutOrSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, svc := newTestAdmission(t)
		release, refused := a.acquire(t.Context(), orderWork(time.Second), svc, 1)
		if refused != nil {
			t.Fatal(refused)
		}
		began := time.Now()
		ctx, disconnect := context.WithCancel(t.Context())
		wait := func(ctx context.Context, limit, want time.Duration, code refusal.Code) {
			free, refused := a.acquire(ctx, orderWork(limit), svc, 1)
			if waited := time.Since(began); waited != want {
				t.Errorf("waited %s, want %s", waited, want)
			}
			switch {
			case refused == nil && code == "":
				free()
			case refused == nil || refused.Code != code || refused.RunState != refusal.NotRun:
				t.Errorf("refused with %v, want %q", refused, code)
			}
		}
		go wait(ctx, time.Minute, 100*time.Millisecond, refusal.CodeDeadline)
		go wait(t.Context(), 200*time.Millisecond, 200*time.Millisecond, refusal.CodeOverloaded)
		go wait(t.Context(), time.Minute, 300*time.Millisecond, "")
		time.Sleep(100 * time.Millisecond)
		disconnect()
		time.Sleep(200 * time.Millisecond)
		release()
		synctest.Wait()
		if stats := a.Stats(svc); stats.Running != 0 || stats.Waiting != 0 {
			t.Errorf("after all: %+v", stats)
		}
	})
}
