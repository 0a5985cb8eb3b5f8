package experiment

import (
	"time"

	"github.com/basilroute/basilroute/coordination/admission"
	"github.com/basilroute/basilroute/service"
)

// jobQueue is a queue in which a gateway's jobs wait for a slot.
type jobQueue interface {
	submit(j *job)
	release(j *job)
	configure(capacity, forBulk int)
	shed()
	stats() admission.Stats
}

// admissionQueue is a jobQueue on the queue of package admission.
type admissionQueue struct {
	sim     *policySim
	service *service.Service
	queue   *admission.Queue
	tickets map[*job]*admission.Ticket
}

func newAdmissionQueue(sim *policySim, svc *service.Service) *admissionQueue {
	return &admissionQueue{sim: sim, service: svc, queue: admission.NewQueue(admission.Settings{}), tickets: make(map[*job]*admission.Ticket)}
}

func (l *admissionQueue) submit(j *job) {
	start := l.sim.time().Add(l.service.Class(j.class).MaxWait)
	settled := false
	t := l.queue.Submit(admission.Request{
		Account: j.account.name, Weight: j.account.weight, Class: j.class, Cost: float64(j.promptTokens + j.outputTokens), StartBy: start,
		OnSettle: func(t *admission.Ticket) {
			settled = true
			granted := t.Granted()
			l.sim.after(0, func() { l.sim.handleSettled(j, granted) })
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

func (l *admissionQueue) release(j *job) {
	t := l.tickets[j]
	delete(l.tickets, j)
	l.queue.Release(t, l.sim.time())
}

func (l *admissionQueue) configure(capacity, forBulk int) {
	l.queue.Configure(admission.Settings{Queue: int(l.service.Limits.Queue), BulkFloor: l.service.Classes.Bulk.Floor}, capacity, forBulk, l.sim.time())
}

func (l *admissionQueue) shed() { l.queue.Shed(l.sim.time()) }

func (l *admissionQueue) stats() admission.Stats { return l.queue.Stats() }

// fifoQueue is the baseline: one queue for all jobs, in order of arrival.
type fifoQueue struct {
	sim      *policySim
	service  *service.Service
	capacity int
	running  int
	waiting  []*job
}

func (l *fifoQueue) submit(j *job) {
	if len(l.waiting) >= int(l.service.Limits.Queue) {
		l.sim.after(0, func() { l.sim.handleSettled(j, false) })
		return
	}
	l.waiting = append(l.waiting, j)
	l.start()
	l.sim.after(l.service.Class(j.class).MaxWait, func() {
		for i, w := range l.waiting {
			if w == j {
				l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
				l.sim.handleSettled(j, false)
				return
			}
		}
	})
}

func (l *fifoQueue) start() {
	for l.running < l.capacity && len(l.waiting) > 0 {
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.running++
		l.sim.after(0, func() { l.sim.handleSettled(j, true) })
	}
}

func (l *fifoQueue) release(*job) {
	l.running--
	l.start()
}

func (l *fifoQueue) configure(capacity, _ int) {
	l.capacity = capacity
	l.start()
}

func (l *fifoQueue) shed() {}

func (l *fifoQueue) stats() admission.Stats {
	room := max(l.capacity-l.running, 0)
	c := admission.ClassStats{Waiting: len(l.waiting), FreeSlots: room, AcceptsRemote: len(l.waiting) == 0 && room*8 >= l.capacity && room > 0}
	if len(l.waiting) > 0 {
		c.ExpectedWait = time.Second
	}
	return admission.Stats{Capacity: l.capacity, Running: l.running, Waiting: len(l.waiting), Interactive: c, Bulk: c}
}
