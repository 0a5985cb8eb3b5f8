package instance

// KnowsLeaving reports whether the instance has read that a server is leaving.
func (i *Instance) KnowsLeaving(service, id string) bool {
	server, ok := i.servers.Find(service, id)
	return ok && server.Load.Leaving
}
