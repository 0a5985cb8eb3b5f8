package experiment

import (
	"time"

	"github.com/basilroute/basilroute/coordination/admission"
	"github.com/basilroute/basilroute/service"
)

// line is where a gateway's jobs wait for a slot.
type line interface {
	submit(j *job)
	release(j *job)
	configure(capacity, forBulk int)
	shed()
	stats() admission.Stats
}

// queueLine is the product's queue.
type queueLine struct {
	sim     *policySim
	service *service.Service
	queue   *admission.Queue
	tickets map[*job]*admission.Ticket
}

func newQueueLine(sim *policySim, svc *service.Service) *queueLine {
	return &queueLine{sim: sim, service: svc, queue: admission.NewQueue(admission.Settings{}), tickets: make(map[*job]*admission.Ticket)}
}

func (l *queueLine) submit(j *job) {
	start := l.sim.time().Add(l.service.Class(j.class).MaxWait)
	settled := false
	t := l.queue.Submit(admission.Request{
		Account: j.account.name, Weight: j.account.rate, Class: j.class, Cost: float64(j.prompt + j.output), StartBy: start,
		OnSettle: func(t *admission.Ticket) {
			settled = true
			granted := t.Granted()
			l.sim.after(0, func() { l.sim.settled(j, granted) })
		},
	}, l.sim.time())
	l.tickets[j] = t
	if settled {
		return
	}
	l.sim.after(start.Sub(l.sim.time()), func() {
		if !settled {
			l.queue.Cancel(t, l.sim.time())
		}
	})
}

func (l *queueLine) release(j *job) {
	t := l.tickets[j]
	delete(l.tickets, j)
	l.queue.Release(t, l.sim.time())
}

func (l *queueLine) configure(capacity, forBulk int) {
	l.queue.Configure(admission.Settings{Queue: int(l.service.Limits.Queue), BulkFloor: l.service.Classes.Bulk.Floor}, capacity, forBulk, l.sim.time())
}

func (l *queueLine) shed() { l.queue.Shed(l.sim.time()) }

func (l *queueLine) stats() admission.Stats { return l.queue.Stats() }

// fifoLine is the baseline: one queue for all, in order of arrival.
type fifoLine struct {
	sim      *policySim
	service  *service.Service
	capacity int
	running  int
	waiting  []*job
}

func (l *fifoLine) submit(j *job) {
	if len(l.waiting) >= int(l.service.Limits.Queue) {
		l.sim.after(0, func() { l.sim.settled(j, false) })
		return
	}
	l.waiting = append(l.waiting, j)
	l.start()
	l.sim.after(l.service.Class(j.class).MaxWait, func() {
		for i, w := range l.waiting {
			if w == j {
				l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
				l.sim.settled(j, false)
				return
			}
		}
	})
}

func (l *fifoLine) start() {
	for l.running < l.capacity && len(l.waiting) > 0 {
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.running++
		l.sim.after(0, func() { l.sim.settled(j, true) })
	}
}

func (l *fifoLine) release(*job) {
	l.running--
	l.start()
}

func (l *fifoLine) configure(capacity, _ int) {
	l.capacity = capacity
	l.start()
}

func (l *fifoLine) shed() {}

func (l *fifoLine) stats() admission.Stats {
	room := max(l.capacity-l.running, 0)
	c := admission.ClassStats{Waiting: len(l.waiting), FreeSlots: room, AcceptsRemote: len(l.waiting) == 0 && room*8 >= l.capacity && room > 0}
	if len(l.waiting) > 0 {
		c.ExpectedWait = time.Second
	}
	return admission.Stats{Capacity: l.capacity, Running: l.running, Waiting: len(l.waiting), Interactive: c, Bulk: c}
}
