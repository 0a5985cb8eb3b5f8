package placement

// Load pattern: servers that share their machines with other work, some of them several times as fast
// as others for as long as they run. Each instance sees a server's answers once in a second or two, so
// that by itself it would learn the servers' speeds after a traffic spike.
//
// So instances report the mean times of work that servers have told them in their load reports.
const (
	// machineTimeWeight is the weight of a newly reported time of work. The time changes within tens of
	// milliseconds, before another request is placed by it; what lasts is the server's mean.
	machineTimeWeight = 0.1
	// priorMachineReports is the number of reports that the usual time counts for at first, so that a
	// single report of a slow moment does not send prompts away from the server that has them cached.
	priorMachineReports = 2
	// peerTimeWeight is the weight of another instance's mean.
	peerTimeWeight = 0.1
)

// recordMachineTime records a time of work that a server reported, over the usual one.
func (p *Pool) recordMachineTime(s *server, factor float64) {
	p.sharedMachines = true
	s.machineReports++
	s.newTimeReport = true
	weight := max(1/float64(s.machineReports+priorMachineReports), machineTimeWeight)
	s.machineFactor += (factor - s.machineFactor) * weight
}

// newTimePercent returns the mean time of work in percent if the server has reported it since the last
// load report, and 0 otherwise.
func (s *server) newTimePercent() int {
	if !s.newTimeReport {
		return 0
	}
	return max(int(100*s.machineFactor), 1)
}

// mergeMachineTime takes over another instance's mean time of work of a server.
func (p *Pool) mergeMachineTime(s *server, percent int) {
	if percent <= 0 {
		return
	}
	p.sharedMachines = true
	weight := max(1/float64(s.machineReports+priorMachineReports), peerTimeWeight)
	s.machineReports++
	s.machineFactor += (float64(percent)/100 - s.machineFactor) * weight
}
