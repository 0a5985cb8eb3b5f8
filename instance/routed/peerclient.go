package routed

import (
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// maxReadyConns is the most idle connections that are dialled ahead to one instance. They carry the
// requests of the round trip that further dials take.
const maxReadyConns = 8

// maxPeerHead bounds the head of a forwarded response, in bytes: that of a server's response, and what
// the other instance adds to it.
const maxPeerHead = 2 * backendhttp.DefaultMaxHead

// peerClientSettings configures the connections to instances of other regions.
func peerClientSettings() backendhttp.Settings {
	return backendhttp.Settings{DialTimeout: peerDialTimeout, UserTimeout: userTimeout, MaxIdle: maxIdleConns, MaxHead: maxPeerHead}
}

// warmPeerClientSettings configures those for services whose requests are forwarded by room. Instances
// keep idle connections open for idleTimeout, so one that the client has not given up yet may carry any
// request.
func (n *Instance) warmPeerClientSettings() backendhttp.Settings {
	settings := peerClientSettings()
	if n.features.On(features.WarmPeers) {
		settings.FreshIdle = backendhttp.DefaultIdleLimit
		settings.MaxReady = maxReadyConns
	}
	return settings
}
