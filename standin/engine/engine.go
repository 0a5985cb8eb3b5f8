// Package engine is a stand-in for a model engine: continuous batching with a
// cost for each prompt and output token, a prefix cache of limited size,
// priorities, cancel, resume, cache events with gaps, delayed load reports, and
// orders with fencing numbers. Faults can be injected.
package engine

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/protocol/engineapi"
)

// Config sets an engine's speed and memory.
type Config struct {
	Version         string
	MaxBatch        int           // maximum of generations in a step
	PrefillRate     float64       // prompt tokens per second
	StepBase        time.Duration // of every step
	StepPerSequence time.Duration // for each running generation
	CacheBlocks     int           // capacity of the prefix cache, in prompt blocks
	OutputTokens    int           // length of the output; 0 for the request's limit
	RestartAfter    time.Duration // downtime after a crash
}

// DefaultConfig is a small, fast engine.
func DefaultConfig() Config {
	return Config{
		Version:         "v1",
		MaxBatch:        16,
		PrefillRate:     20000,
		StepBase:        2 * time.Millisecond,
		StepPerSequence: 100 * time.Microsecond,
		CacheBlocks:     4096,
		RestartAfter:    500 * time.Millisecond,
	}
}

// Faults are the failures to inject.
type Faults struct {
	Delay               time.Duration `json:"delay"`            // before each response starts, nanoseconds in JSON
	CrashOn             string        `json:"crash_on"`         // a prompt that contains this text crashes the engine
	ResetAfterRead      int           `json:"reset_after_read"` // the next requests start, then their connection is reset
	CutAfter            int64         `json:"cut_after"`        // connections are closed after this many frames; 0 is off
	MaxCuts             int           `json:"cut_times"`        // how often CutAfter applies
	ForeignFrames       bool          `json:"cross_frames"`     // frames with the id of another request are mixed in
	RepeatFrames        bool          `json:"repeat_frames"`    // every frame is sent twice
	IgnoreFencing       bool          `json:"ignore_fencing"`   // orders with an outdated fencing number are accepted
	LoadLag             time.Duration `json:"load_lag"`         // age of load reports, nanoseconds in JSON
	DropCacheEventEvery int64         `json:"event_gap"`        // every n-th cache event is dropped; 0 is off
	Leaving             bool          `json:"leaving"`          // reports itself as leaving
}

// Stats counts what an engine did.
type Stats struct {
	Started   int64         `json:"started"`
	Cancelled int64         `json:"cancelled"`
	Crashes   int64         `json:"crashes"`
	Prefilled int64         `json:"prefilled"` // prompt tokens computed
	Generated int64         `json:"generated"` // output tokens
	BusyTime  time.Duration `json:"busy"`
	KeysSeen  int64         `json:"keys_seen"` // requests that carried a caller's key
}

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// Engine is the stand-in. Use Handler to serve it and Close to stop it.
type Engine struct {
	config Config

	mu            sync.Mutex
	workAvailable *sync.Cond
	bootID        string
	downUntil     time.Time
	faults        Faults
	generations   map[string]*generation
	waiting       []*generation
	running       []*generation
	cache         *prefixCache
	loads         []loadSample
	state         engineapi.EngineState
	stepTime      time.Duration
	busy          time.Duration
	prefilled     int64
	generated     int64
	started       int64
	cancels       int64
	crashes       int64
	keysSeen      int64
	closed        bool
	stopped       chan struct{}
}

// New starts an engine.
func New(config Config) *Engine {
	e := &Engine{
		config:      config,
		bootID:      uuid.NewString(),
		generations: make(map[string]*generation),
		cache:       newPrefixCache(config.CacheBlocks),
		state:       engineapi.EngineState{Version: config.Version},
		stopped:     make(chan struct{}),
	}
	e.workAvailable = sync.NewCond(&e.mu)
	go e.run()
	return e
}

// Close stops the engine's steps. Running generations get no further frames.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.workAvailable.Broadcast()
	e.mu.Unlock()
	<-e.stopped
}

// SetFaults replaces the injected failures.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		Started: e.started, Cancelled: e.cancels, Crashes: e.crashes, Prefilled: e.prefilled,
		Generated: e.generated, BusyTime: e.busy, KeysSeen: e.keysSeen,
	}
}

// Crash simulates a crash of the engine's process and its restart after
// Config.RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash discards all state, as the end of a process would, and keeps the engine down for
// Config.RestartAfter. The caller holds mu.
func (e *Engine) crash() {
	e.crashes++
	e.bootID = uuid.NewString()
	e.downUntil = time.Now().Add(e.config.RestartAfter)
	for _, g := range e.generations {
		g.done = true
		close(g.changed)
		g.changed = make(chan struct{})
	}
	e.generations = make(map[string]*generation)
	e.waiting, e.running = nil, nil
	e.cache = newPrefixCache(e.config.CacheBlocks)
	e.loads = nil
}

func (e *Engine) down() bool { return time.Now().Before(e.downUntil) }

// maxLoadSamples limits the load reports that are kept for LoadLag.
const maxLoadSamples = 512

func (e *Engine) snapshotLoad(now time.Time) {
	e.loads = append(e.loads, loadSample{now, e.currentLoad()})
	if len(e.loads) > maxLoadSamples {
		e.loads = append(e.loads[:0:0], e.loads[maxLoadSamples/2:]...)
	}
}

func (e *Engine) currentLoad() engineapi.Load {
	waitingTokens := 0
	for _, g := range e.waiting {
		waitingTokens += len(g.prompt) / 4
	}
	load := engineapi.Load{
		BootID: e.bootID, Running: len(e.running), Waiting: len(e.waiting), WaitingTokens: waitingTokens,
		PrefillRate: e.config.PrefillRate, CacheUsed: e.cache.used(),
		Leaving: e.faults.Leaving || e.state.Draining,
	}
	if e.stepTime > 0 {
		load.DecodeRate = float64(len(e.running)) / e.stepTime.Seconds()
	}
	return load
}

// reportedLoad returns the newest load report that is at least LoadLag old.
func (e *Engine) reportedLoad(now time.Time) engineapi.Load {
	if e.faults.LoadLag == 0 {
		return e.currentLoad()
	}
	load := engineapi.Load{BootID: e.bootID, PrefillRate: e.config.PrefillRate}
	for _, sample := range e.loads {
		if now.Sub(sample.at) >= e.faults.LoadLag {
			load = sample.load
		}
	}
	return load
}
