package httproute

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Budget bounds the memory in which one instance holds bodies of requests and unread parts of
// responses. A nil budget has no limit.
//
// Load pattern: many callers read slowly at once, or send long bodies slowly. Without a bound for all
// together each of them is within its own limit, and the process exceeds its memory.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take takes n bytes, and reports whether they were left.
func (b *Budget) Take(n int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n int) {
	if b != nil {
		b.used.Add(-int64(n))
	}
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// errBudgetSpent means that the memory for bodies is used up.
var errBudgetSpent = errors.New("no memory left for the body")

// readAll reads a body within the budget. The caller has to release the bytes of the result; after an
// error nothing is taken.
func (b *Budget) readAll(body io.Reader) ([]byte, error) {
	reader := &budgetReader{body: body, budget: b}
	content, err := io.ReadAll(reader)
	if err != nil {
		b.Release(reader.taken)
		return nil, err
	}
	return content, nil
}

// budgetReader takes from a budget what it reads. It returns errBudgetSpent with the bytes for which
// nothing was left.
type budgetReader struct {
	body   io.Reader
	budget *Budget
	taken  int
}

func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.budget.Take(n) {
		return n, errBudgetSpent
	}
	r.taken += n
	return n, err
}
