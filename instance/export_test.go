package instance

// KnowsLeaving tells whether the instance has read that a server leaves.
func (i *Instance) KnowsLeaving(service, id string) bool {
	server, ok := i.servers.Find(service, id)
	return ok && server.Load.Leaving
}
