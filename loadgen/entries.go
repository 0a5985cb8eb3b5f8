package loadgen

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/gatewayapi"
)

const (
	entriesTimeout = 5 * time.Second
	entriesPause   = time.Second // after no instance answered
)

// entries are the instances that one account uses.
type entries struct {
	client *http.Client
	key    string
	seeds  []string
	spread int

	mu   sync.Mutex
	list []string
	ttl  time.Duration
}

// keepFresh asks again whenever the list's time to live has passed.
func (e *entries) keepFresh(ctx context.Context) {
	for {
		e.mu.Lock()
		wait := max(e.ttl, entriesPause)
		e.mu.Unlock()
		select {
		case <-time.After(wait):
			e.refresh(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// refresh asks the instances in use and then the seeds, until one answers.
func (e *entries) refresh(ctx context.Context) {
	e.mu.Lock()
	ask := slices.Concat(e.list, e.seeds)
	e.mu.Unlock()
	for _, address := range ask {
		list, ttl, err := e.fetch(ctx, address)
		if err != nil || len(list) == 0 {
			continue
		}
		e.mu.Lock()
		e.list, e.ttl = list, ttl
		e.mu.Unlock()
		return
	}
}

func (e *entries) fetch(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/entries", nil)
	if err != nil {
		return nil, 0, errors.Wrap(err, "entries")
	}
	req.Header.Set("Authorization", "Bearer "+e.key)
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "entries")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("entries: status %d", resp.StatusCode)
	}
	var answer gatewayapi.Entries
	if err := answer.UnmarshalJSON(data); err != nil {
		return nil, 0, errors.Wrap(err, "entries")
	}
	var list []string
	for _, entry := range answer.Entries {
		list = append(list, "http://"+entry.Address)
	}
	return list, time.Duration(answer.TTLMs) * time.Millisecond, nil
}

// pick returns one of the first instances of the list.
func (e *entries) pick(n int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.list) == 0 {
		return e.seeds[n%len(e.seeds)]
	}
	return e.list[n%min(e.spread, len(e.list))]
}

// replace takes the instances that a refusal named.
func (e *entries) replace(list []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = list
}

// failed moves an instance that does not answer to the end of the list.
func (e *entries) failed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.list, address)
	if i < 0 {
		return
	}
	e.list = append(slices.Delete(slices.Clone(e.list), i, i+1), address)
}
