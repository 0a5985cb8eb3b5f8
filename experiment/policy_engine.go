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
	engineMaxBatch        = 16
	prefillChunkTokens    = 512 // max prompt tokens computed per step
	enginePrefillRate     = 8000.0
	engineStepBase        = 15 * time.Millisecond
	engineStepPerSequence = 500 * time.Microsecond
	engineCacheBlocks     = 512 // blocks
	droppedEventInterval  = 50  // one in this many cache events is lost
)

// simEngine models an engine with continuous batching, chunked prefill and a prefix
// cache.
type simEngine struct {
	id         string
	sim        *policySim
	up         bool
	bootCount  int
	stepping   bool
	waiting    []*job
	running    []*job
	stepTime   time.Duration
	busy       time.Duration
	prefilled  int
	recomputed int // prompt tokens computed although some engine had computed them before
	lru        *list.List
	blocks     map[tokens.Block]*list.Element
	events     []prefix.Event
	seq        int64
}

func newSimEngine(sim *policySim, id string) *simEngine {
	e := &simEngine{id: id, sim: sim, up: true}
	e.clearCache()
	return e
}

func (e *simEngine) clearCache() {
	e.lru, e.blocks = list.New(), make(map[tokens.Block]*list.Element)
	e.events, e.seq = nil, 0
	e.bootCount++
}

// cachePrompt returns how many prompt tokens are cached, and adds the prompt's blocks to
// the cache.
func (e *simEngine) cachePrompt(blocks []tokens.Block) int {
	cached := 0
	for cached < len(blocks) && e.blocks[blocks[cached]] != nil {
		cached++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := e.blocks[blocks[i]]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		e.blocks[blocks[i]] = e.lru.PushFront(blocks[i])
		e.record(blocks[i], false)
	}
	for e.lru.Len() > engineCacheBlocks {
		block := e.lru.Remove(e.lru.Back()).(tokens.Block)
		delete(e.blocks, block)
		e.record(block, true)
	}
	return cached * tokens.BlockTokens
}

func (e *simEngine) record(block tokens.Block, evicted bool) {
	e.seq++
	if e.seq%droppedEventInterval != 0 {
		e.events = append(e.events, prefix.Event{Seq: e.seq, Evicted: evicted, Block: block})
	}
}

func (e *simEngine) enqueue(j *job) {
	if !e.up {
		e.sim.handleEngineLost(j)
		return
	}
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

// dequeue removes and returns the first waiting interactive job, or the first waiting
// job if none is interactive.
func (e *simEngine) dequeue() *job {
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
	for len(e.waiting) > 0 && len(e.running) < engineMaxBatch {
		j := e.dequeue()
		j.prefillTokens = j.promptTokens - e.cachePrompt(j.blocks)
		e.sim.countRecomputed(e, j)
		e.running = append(e.running, j)
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	computed := e.compute(service.ClassInteractive, prefillChunkTokens)
	computed += e.compute(service.ClassBulk, prefillChunkTokens-computed)
	e.prefilled += computed
	e.stepTime = engineStepBase + time.Duration(len(e.running))*engineStepPerSequence +
		time.Duration(float64(computed)/enginePrefillRate*float64(time.Second))
	e.busy += e.stepTime
	boot := e.bootCount
	e.sim.after(e.stepTime, func() {
		if e.bootCount == boot {
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
		n := min(j.prefillTokens, budget-computed)
		j.prefillTokens -= n
		computed += n
	}
	return computed
}

func (e *simEngine) endStep() {
	keep := e.running[:0:0]
	for _, j := range e.running {
		if j.prefillTokens > 0 {
			keep = append(keep, j)
			continue
		}
		j.generated++
		if j.generated == 1 {
			e.sim.firstToken(j)
		}
		if j.generated < j.outputTokens {
			keep = append(keep, j)
			continue
		}
		e.sim.finished(j)
	}
	e.running = keep
	e.step()
}

// crash stops the engine; its jobs and its cache are lost.
func (e *simEngine) crash() {
	e.up, e.stepping = false, false
	jobs := append(e.waiting, e.running...)
	e.waiting, e.running = nil, nil
	e.clearCache()
	for _, j := range jobs {
		e.sim.handleEngineLost(j)
	}
}

func (e *simEngine) load(at time.Time) servers.Load {
	l := servers.Load{
		At: at, BootID: string(rune('a' + e.bootCount)), Running: len(e.running), Waiting: len(e.waiting),
		PrefillRate: enginePrefillRate,
	}
	for _, j := range e.waiting {
		l.WaitingTokens += j.promptTokens
	}
	for _, j := range e.running {
		l.WaitingTokens += j.prefillTokens
	}
	if e.stepTime > 0 && len(e.running) > 0 {
		l.DecodeRate = float64(len(e.running)) / e.stepTime.Seconds()
	}
	return l
}
