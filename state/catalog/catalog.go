// Package catalog holds the documents in force: services, client accounts with
// their keys, and the fleet. It is read on every request and split into shards,
// each under its own lock.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/service"
)

const shardCount = 32

// KeyPrefix starts every caller's key. A key has the form br_<id>_<secret>.
const KeyPrefix = "br_"

type keyRecord struct {
	account string
	sum     [sha256.Size]byte
}

type shard struct {
	mu        sync.RWMutex
	accounts  map[string]*service.Account
	services  map[string]*service.Service
	keys      map[string]keyRecord
	withdrawn map[string]int64 // key id to the time of withdrawal, milliseconds since 1970
}

func newKeyRecord(key service.Key, account string) keyRecord {
	record := keyRecord{account: account}
	sum, _ := hex.DecodeString(key.SHA256) // checked when the document was parsed
	copy(record.sum[:], sum)
	return record
}

// Catalog is safe for concurrent use.
type Catalog struct {
	shards [shardCount]shard
	fleet  atomic.Pointer[service.Fleet]

	mu        sync.Mutex
	listeners []func(keyID string)
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{}
	for i := range c.shards {
		c.shards[i] = shard{
			accounts:  make(map[string]*service.Account),
			services:  make(map[string]*service.Service),
			keys:      make(map[string]keyRecord),
			withdrawn: make(map[string]int64),
		}
	}
	return c
}

func (c *Catalog) shard(name string) *shard {
	return &c.shards[xxhash.Sum64String(name)%shardCount]
}

// Put brings a document into force in place of the one of the same kind and name.
func (c *Catalog) Put(d *service.Document) {
	switch d.Kind {
	case service.KindService:
		s := c.shard(d.Name)
		s.mu.Lock()
		s.services[d.Name] = d.Service
		s.mu.Unlock()
	case service.KindAccount:
		c.putAccount(d.Account)
	case service.KindFleet:
		c.fleet.Store(d.Fleet)
	}
}

func (c *Catalog) putAccount(a *service.Account) {
	previous := c.swapAccount(a.Name, a)
	keep := make(map[string]bool, len(a.Keys))
	for _, key := range a.Keys {
		keep[key.ID] = true
		c.putKey(key, a.Name)
	}
	c.dropKeys(previous, keep)
}

func (c *Catalog) swapAccount(name string, next *service.Account) *service.Account {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.accounts[name]
	if next == nil {
		delete(s.accounts, name)
	} else {
		s.accounts[name] = next
	}
	return previous
}

func (c *Catalog) putKey(key service.Key, account string) {
	record := newKeyRecord(key, account)
	s := c.shard(key.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key.ID] = record
}

// dropKeys removes an account's keys that its new document does not contain and notifies
// listeners, because a removed key must also end open streams. A key that another account has
// by now stays valid, and so do its requests.
func (c *Catalog) dropKeys(previous *service.Account, keep map[string]bool) {
	if previous == nil {
		return
	}
	for _, key := range previous.Keys {
		if keep[key.ID] {
			continue
		}
		if c.dropKey(newKeyRecord(key, previous.Name), key.ID) {
			c.notify(key.ID)
		}
	}
}

// dropKey removes a key from its account. It returns false if the same key, with the same
// secret, belongs to another account now.
func (c *Catalog) dropKey(dropped keyRecord, id string) bool {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.keys[id]
	if known && current.account == dropped.account {
		delete(s.keys, id)
		return true
	}
	return !known || current.sum != dropped.sum
}

// Delete takes the document of a kind and name out of force.
func (c *Catalog) Delete(kind service.Kind, name string) {
	switch kind {
	case service.KindService:
		s := c.shard(name)
		s.mu.Lock()
		delete(s.services, name)
		s.mu.Unlock()
	case service.KindAccount:
		c.dropKeys(c.swapAccount(name, nil), nil)
	}
}

// Withdraw makes a key unusable for good. It reports whether the key was not withdrawn
// before.
func (c *Catalog) Withdraw(keyID string, atUnixMilli int64) bool {
	s := c.shard(keyID)
	s.mu.Lock()
	_, known := s.withdrawn[keyID]
	if !known {
		s.withdrawn[keyID] = atUnixMilli
	}
	s.mu.Unlock()
	if !known {
		c.notify(keyID)
	}
	return !known
}

// OnWithdraw registers fn to be called, without locks held, for every key that is
// withdrawn or removed.
func (c *Catalog) OnWithdraw(fn func(keyID string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, fn)
}

func (c *Catalog) notify(keyID string) {
	c.mu.Lock()
	listeners := c.listeners
	c.mu.Unlock()
	for _, fn := range listeners {
		fn(keyID)
	}
}

// Withdrawn returns every withdrawn key and when it was withdrawn.
func (c *Catalog) Withdrawn() map[string]int64 {
	all := make(map[string]int64)
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		for id, at := range s.withdrawn {
			all[id] = at
		}
		s.mu.RUnlock()
	}
	return all
}

// KeyState is the outcome of a key check.
type KeyState int

// Outcomes of a key check.
const (
	KeyUnknown KeyState = iota
	KeyValid
	KeyWithdrawn
)

// Usable reports whether a key that was checked before is still valid.
func (c *Catalog) Usable(keyID string) bool {
	s := c.shard(keyID)
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, withdrawn := s.withdrawn[keyID]
	_, known := s.keys[keyID]
	return known && !withdrawn
}

// IsWithdrawn reports whether a key was withdrawn.
func (c *Catalog) IsWithdrawn(keyID string) bool {
	s := c.shard(keyID)
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, withdrawn := s.withdrawn[keyID]
	return withdrawn
}

// CheckKey returns the account that a presented key belongs to.
func (c *Catalog) CheckKey(presented string) (*service.Account, string, KeyState) {
	id, ok := KeyID(presented)
	if !ok {
		return nil, "", KeyUnknown
	}
	s := c.shard(id)
	s.mu.RLock()
	record, known := s.keys[id]
	_, withdrawn := s.withdrawn[id]
	s.mu.RUnlock()
	sum := sha256.Sum256([]byte(presented))
	if !known || subtle.ConstantTimeCompare(sum[:], record.sum[:]) != 1 {
		return nil, id, KeyUnknown
	}
	if withdrawn {
		return nil, id, KeyWithdrawn
	}
	account := c.Account(record.account)
	if account == nil {
		return nil, id, KeyUnknown
	}
	return account, id, KeyValid
}

// Account returns the account's document in force, or nil.
func (c *Catalog) Account(name string) *service.Account {
	s := c.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accounts[name]
}

// Service returns the service's document in force, or nil.
func (c *Catalog) Service(name string) *service.Service {
	s := c.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

// Fleet returns the fleet's document in force, or nil.
func (c *Catalog) Fleet() *service.Fleet { return c.fleet.Load() }

// Services returns all services in force.
func (c *Catalog) Services() []*service.Service {
	var all []*service.Service
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		for _, svc := range s.services {
			all = append(all, svc)
		}
		s.mu.RUnlock()
	}
	return all
}

// Accounts returns all accounts in force.
func (c *Catalog) Accounts() []*service.Account {
	var all []*service.Account
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		for _, account := range s.accounts {
			all = append(all, account)
		}
		s.mu.RUnlock()
	}
	return all
}
