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
	entriesTimeout       = 5 * time.Second
	entriesRetryInterval = time.Second // after no instance responded, and the minimum between refreshes
)

// entryList is the list of entry instances that one account uses.
type entryList struct {
	client *http.Client
	key    string
	seeds  []string
	spread int

	mu   sync.Mutex
	list []string
	ttl  time.Duration
}

// refreshLoop refreshes the list whenever its time to live has passed.
func (e *entryList) refreshLoop(ctx context.Context) {
	for {
		e.mu.Lock()
		wait := max(e.ttl, entriesRetryInterval)
		e.mu.Unlock()
		select {
		case <-time.After(wait):
			e.refresh(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// refresh fetches the list from the instances in use and then from the seeds, until one
// responds.
func (e *entryList) refresh(ctx context.Context) {
	e.mu.Lock()
	candidates := slices.Concat(e.list, e.seeds)
	e.mu.Unlock()
	for _, address := range candidates {
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

func (e *entryList) fetch(ctx context.Context, address string) ([]string, time.Duration, error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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

// pick returns one of the first spread instances of the list, chosen by n.
func (e *entryList) pick(n int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.list) == 0 {
		return e.seeds[n%len(e.seeds)]
	}
	return e.list[n%min(e.spread, len(e.list))]
}

// replace sets the list to the instances that a refusal named.
func (e *entryList) replace(list []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = list
}

// moveToEnd moves an instance that does not respond to the end of the list.
func (e *entryList) moveToEnd(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.list, address)
	if i < 0 {
		return
	}
	e.list = append(slices.Delete(slices.Clone(e.list), i, i+1), address)
}
