package catalog

import (
	"testing"

	"github.com/basilroute/basilroute/service"
)

func documentOfAccount(name string, keys ...service.Key) *service.Document {
	return &service.Document{Kind: service.KindAccount, Name: name, Account: &service.Account{Name: name, Keys: keys}}
}

// Guards against ending the requests of a key that is still valid, because it was moved to
// another account.
func TestMovedKeyIsNotWithdrawn(t *testing.T) {
	presented, key := NewKey("k1")
	c := New()
	var ended []string
	c.OnWithdraw(func(id string) { ended = append(ended, id) })
	c.Put(documentOfAccount("old", key))
	c.Put(documentOfAccount("new", key))
	c.Put(documentOfAccount("old"))
	c.Delete(service.KindAccount, "old")
	if account, _, state := c.CheckKey(presented); state != KeyValid || account.Name != "new" {
		t.Errorf("the key has state %d", state)
	}
	if len(ended) > 0 {
		t.Errorf("ended the requests of %v", ended)
	}
	c.Put(documentOfAccount("new"))
	if len(ended) != 1 || c.Usable("k1") {
		t.Errorf("ended the requests of %v when the key was removed", ended)
	}
}
