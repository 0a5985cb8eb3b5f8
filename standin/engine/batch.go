package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// prefillBudget is the number of prompt tokens after which a step admits no further
// generation. The last one admitted may exceed it.
const prefillBudget = 2048

// generation is one request in the engine. Its fields are guarded by Engine.mu.
type generation struct {
	id           string
	attempt      int
	prompt       string
	promptHash   PromptHash
	priority     int
	outputTokens int // number to generate
	finishReason string
	cached       int // prompt tokens
	admitted     bool
	cancelled    bool
	frames       []frame.Frame
	changed      chan struct{} // closed and replaced at every frame
	done         bool
}

func (g *generation) append(f frame.Frame) {
	f.RequestID, f.Attempt, f.Seq = g.id, g.attempt, int64(len(g.frames))
	g.frames = append(g.frames, f)
	g.done = f.Finish != ""
	close(g.changed)
	g.changed = make(chan struct{})
}

// PromptHash identifies a prompt in the engine's output tokens.
type PromptHash uint64

// hashPadding is longer than a block, so that the last complete block covers all
// of the prompt and prompts that share a prefix get different output.
const hashPadding = tokens.BlockTokens * 8

// HashPrompt returns the hash of a prompt.
func HashPrompt(prompt string) PromptHash {
	blocks := tokens.AppendBlocks(nil, prompt+string(make([]byte, hashPadding)))
	return PromptHash(blocks[len(blocks)-1] & 0xffffff)
}

// Token returns the text of the i-th output token.
func (m PromptHash) Token(i int) string {
	return strconv.FormatUint(uint64(m), 16) + "-" + strconv.Itoa(i) + " "
}

// Token returns the text of the i-th output token for a prompt, so that a test
// can tell the output for one caller from the output for another.
func Token(prompt string, i int) string {
	return HashPrompt(prompt).Token(i)
}

// run executes steps until the engine closes.
func (e *Engine) run() {
	defer close(e.stopped)
	for {
		duration, ok := e.beginStep()
		if !ok {
			return
		}
		time.Sleep(duration)
		e.endStep()
	}
}

// beginStep waits for work, moves waiting generations into the batch and
// returns how long the step takes.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) == 0 && len(e.running) == 0 && !e.closed {
		e.workAvailable.Wait()
	}
	if e.closed {
		return 0, false
	}
	computed := e.admit()
	step := e.config.StepBase + time.Duration(len(e.running))*e.config.StepPerSequence
	step += time.Duration(float64(computed) / e.config.PrefillRate * float64(time.Second))
	e.busy += step
	e.prefilled += int64(computed)
	e.stepTime = step
	return step, true
}

// admit moves waiting generations into the batch, in order of priority, and returns the
// number of uncached prompt tokens that have to be computed for them.
func (e *Engine) admit() int {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return a.priority - b.priority })
	computed := 0
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		if computed >= prefillBudget {
			break
		}
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		blocks := tokens.AppendBlocks(nil, g.prompt)
		g.cached = e.cache.use(blocks) * tokens.BlockTokens
		g.admitted = true
		computed += tokens.Estimate(g.prompt) - g.cached
		e.running = append(e.running, g)
	}
	return computed
}

// endStep gives every running generation its next token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.running {
		e.advance(g)
	}
	e.running = slices.DeleteFunc(e.running, func(g *generation) bool { return g.done })
	e.snapshotLoad(time.Now())
}

func (e *Engine) advance(g *generation) {
	next := frame.Frame{Text: g.promptHash.Token(len(g.frames)), Tokens: 1}
	switch {
	case g.cancelled:
		next = frame.Frame{Finish: frame.FinishCancelled}
	case len(g.frames)+1 >= g.outputTokens:
		next.Finish = g.finishReason
	}
	if next.Finish != "" {
		next.PromptTokens = tokens.Estimate(g.prompt)
		next.CachedTokens = g.cached
	}
	if !g.cancelled {
		e.generated++
	}
	g.append(next)
}
