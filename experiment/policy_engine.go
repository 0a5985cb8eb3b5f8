package experiment

import (
	"container/list"
	"time"

	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

// Cost and memory of the modelled engines.
const (
	engineBatch       = 16
	engineChunk       = 512 // prompt tokens computed in one step
	enginePrefillRate = 8000.0
	engineStep        = 15 * time.Millisecond
	engineSequence    = 500 * time.Microsecond
	engineCache       = 512 // blocks
	eventGap          = 50  // every so many-th cache event is missing
)

// simEngine batches continuously, computes prompts in chunks and caches prefixes.
type simEngine struct {
	id        string
	sim       *policySim
	up        bool
	boot      int
	stepping  bool
	waiting   []*job
	running   []*job
	stepTime  time.Duration
	busy      time.Duration
	prefilled int
	again     int // prompt tokens computed that some engine had computed before
	order     *list.List
	blocks    map[tokens.Block]*list.Element
	events    []prefix.Event
	seq       int64
}

func newSimEngine(sim *policySim, id string) *simEngine {
	e := &simEngine{id: id, sim: sim, up: true}
	e.clearCache()
	return e
}

func (e *simEngine) clearCache() {
	e.order, e.blocks = list.New(), make(map[tokens.Block]*list.Element)
	e.events, e.seq = nil, 0
	e.boot++
}

// use returns how many prompt tokens are cached, and stores the prompt's blocks.
func (e *simEngine) use(blocks []tokens.Block) int {
	cached := 0
	for cached < len(blocks) && e.blocks[blocks[cached]] != nil {
		cached++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := e.blocks[blocks[i]]; element != nil {
			e.order.MoveToFront(element)
			continue
		}
		e.blocks[blocks[i]] = e.order.PushFront(blocks[i])
		e.record(blocks[i], false)
	}
	for e.order.Len() > engineCache {
		block := e.order.Remove(e.order.Back()).(tokens.Block)
		delete(e.blocks, block)
		e.record(block, true)
	}
	return cached * tokens.BlockTokens
}

func (e *simEngine) record(block tokens.Block, evicted bool) {
	e.seq++
	if e.seq%eventGap != 0 {
		e.events = append(e.events, prefix.Event{Seq: e.seq, Evicted: evicted, Block: block})
	}
}

func (e *simEngine) enqueue(j *job) {
	if !e.up {
		e.sim.lost(j)
		return
	}
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

// next takes the first waiting job of the most urgent class.
func (e *simEngine) next() *job {
	at := 0
	for i, j := range e.waiting {
		if j.class == service.ClassInteractive {
			at = i
			break
		}
	}
	j := e.waiting[at]
	e.waiting = append(e.waiting[:at:at], e.waiting[at+1:]...)
	return j
}

func (e *simEngine) step() {
	for len(e.waiting) > 0 && len(e.running) < engineBatch {
		j := e.next()
		j.prefill = j.prompt - e.use(j.blocks)
		e.sim.countAgain(e, j)
		e.running = append(e.running, j)
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	computed := e.compute(service.ClassInteractive, engineChunk)
	computed += e.compute(service.ClassBulk, engineChunk-computed)
	e.prefilled += computed
	e.stepTime = engineStep + time.Duration(len(e.running))*engineSequence +
		time.Duration(float64(computed)/enginePrefillRate*float64(time.Second))
	e.busy += e.stepTime
	boot := e.boot
	e.sim.after(e.stepTime, func() {
		if e.boot == boot {
			e.endStep()
		}
	})
}

func (e *simEngine) compute(class service.Class, budget int) int {
	computed := 0
	for _, j := range e.running {
		if j.class != class {
			continue
		}
		n := min(j.prefill, budget-computed)
		j.prefill -= n
		computed += n
	}
	return computed
}

func (e *simEngine) endStep() {
	keep := e.running[:0:0]
	for _, j := range e.running {
		if j.prefill > 0 {
			keep = append(keep, j)
			continue
		}
		j.generated++
		if j.generated == 1 {
			e.sim.firstToken(j)
		}
		if j.generated < j.output {
			keep = append(keep, j)
			continue
		}
		e.sim.finished(j)
	}
	e.running = keep
	e.step()
}

// lose takes the engine away with everything in it.
func (e *simEngine) lose() {
	e.up, e.stepping = false, false
	jobs := append(e.waiting, e.running...)
	e.waiting, e.running = nil, nil
	e.clearCache()
	for _, j := range jobs {
		e.sim.lost(j)
	}
}

func (e *simEngine) load(at time.Time) servers.Load {
	l := servers.Load{
		At: at, BootID: string(rune('a' + e.boot)), Running: len(e.running), Waiting: len(e.waiting),
		PrefillRate: enginePrefillRate,
	}
	for _, j := range e.waiting {
		l.WaitingTokens += j.prompt
	}
	for _, j := range e.running {
		l.WaitingTokens += j.prefill
	}
	if e.stepTime > 0 && len(e.running) > 0 {
		l.DecodeRate = float64(len(e.running)) / e.stepTime.Seconds()
	}
	return l
}
