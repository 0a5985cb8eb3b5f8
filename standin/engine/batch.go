package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// prefillBudget is how many prompt tokens one step computes at most, unless a
// single prompt is longer.
const prefillBudget = 2048

// generation is one request in the engine. Its fields are guarded by Engine.mu.
type generation struct {
	id        string
	attempt   int
	prompt    string
	mark      PromptHash
	priority  int
	want      int // output tokens
	finish    string
	cached    int // prompt tokens
	admitted  bool
	cancelled bool
	frames    []frame.Frame
	changed   chan struct{} // closed and replaced at every frame
	done      bool
}

func (g *generation) append(f frame.Frame) {
	f.RequestID, f.Attempt, f.Seq = g.id, g.attempt, int64(len(g.frames))
	g.frames = append(g.frames, f)
	g.done = f.Finish != ""
	close(g.changed)
	g.changed = make(chan struct{})
}

// PromptHash identifies a prompt in the engine's answers.
type PromptHash uint64

// markPadding is longer than a block, so that the last whole block covers all
// of the prompt and prompts that share a prefix still get answers of their own.
const markPadding = tokens.BlockTokens * 8

// HashPrompt returns the mark of a prompt.
func HashPrompt(prompt string) PromptHash {
	blocks := tokens.AppendBlocks(nil, prompt+string(make([]byte, markPadding)))
	return PromptHash(blocks[len(blocks)-1] & 0xffffff)
}

// Token returns the text of the i-th output token.
func (m PromptHash) Token(i int) string {
	return strconv.FormatUint(uint64(m), 16) + "-" + strconv.Itoa(i) + " "
}

// Token returns the text of the i-th output token for a prompt, so that a test
// can tell a caller's own answer from another's.
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
		e.work.Wait()
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

// admit returns how many prompt tokens have to be computed for the newcomers.
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
	next := frame.Frame{Text: g.mark.Token(len(g.frames)), Tokens: 1}
	switch {
	case g.cancelled:
		next = frame.Frame{Finish: frame.FinishCancelled}
	case len(g.frames)+1 >= g.want:
		next.Finish = g.finish
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
