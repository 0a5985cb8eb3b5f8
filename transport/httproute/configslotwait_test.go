package httproute

import (
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
)

// excluding are the changes by which a request that has not begun may not run any more, and its status then.
var excluding = map[string]int{"route dropped": 404, "route moved": 503, "account removed": 401, "key removed": 401, "homes elsewhere": 503}

// Guards against a waiting request that a change leaves without an answer or a truthful refusal.
func TestConfigurationChangesDuringAWaitForASlot(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			f := newStepFixture(t, completesAtOnce)
			pool := f.Local.Pool("svc")
			f.Local.Waiting = &Waiting{Metrics: f.Metrics, MaxBytes: 1 << 20}
			offerUrgentOverOrders(f.Routes)
			settings := placement.Settings{Engine: true, Slots: 1, Precedence: f.Routes.Current().Precedence("svc")}
			server := backends.Entry{Server: backends.Server{ID: "s0", Address: f.servers[0].address, Slots: 1}, Incarnation: 1}
			pool.Update(settings, []backends.Entry{server})
			now := time.Now()
			taken := pool.Place(&placement.Request{Urgency: 5, Arrived: now, Deadline: now.Add(time.Minute)}, now).Placement
			go f.Local.Waiting.Run(t.Context())
			go func() {
				for f.Local.Waiting.Len("svc") == 0 {
					time.Sleep(time.Millisecond)
				}
				close(f.held)
				<-f.changed
				pool.Done(taken, placement.OutcomeServed, time.Now())
				f.Local.Waiting.Wake("svc")
			}()
			go func() {
				<-f.held
				apply(f.Routes, change)
				close(f.changed)
			}()
			got, _ := f.send(t, "/advise/1", strings.NewReader("x"))
			f.callers.Close()
			select {
			case <-f.changed:
			default:
				t.Fatal("the request did not wait")
			}
			want := result{200, 1}
			if status, excluded := excluding[name]; excluded {
				want = result{status, 0}
			}
			if got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
			if n := endsOf(t, f.Metrics); n != 1 {
				t.Errorf("counted %d times", n)
			}
		})
	}
}
