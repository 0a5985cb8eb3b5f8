package routed

import (
	"context"

	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/platform"
)

// Source decodes what operators and backend servers write to the store. It makes no
// decisions.
type Source interface {
	// Store returns the store's client.
	Store() platform.Store
	// ConfigPrefix and ServersPrefix return the key prefixes of the items.
	ConfigPrefix() string
	ServersPrefix() string
	// ListServers lists the entries of the backend servers. It asks before each page but the first whether
	// to go on; complete is false if not.
	ListServers(ctx context.Context, more func() bool) (entries []platform.KeyValue, revision int64, complete bool, err error)
	// Config decodes the configuration; ok is false for an item that is not a
	// configuration.
	Config(key string, value []byte) (config *routes.Config, ok bool, err error)
	// Evacuation returns the failure domain that an item asks to evacuate.
	Evacuation(key string) (domain string, ok bool)
	// Server decodes the entry of a backend server.
	Server(key string, value []byte) (backends.Server, error)
	// ServerID returns the id of the server whose entry has a key.
	ServerID(key string) string
}
