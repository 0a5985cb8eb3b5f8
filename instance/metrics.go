package instance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/protocol/operatorapi"
)

const metricsNamespace = "basilroute"

// registerMetrics adds the series that are read from the instance's state at each scrape.
func (i *Instance) registerMetrics() {
	i.gauge("ready", "Whether the instance takes callers: 1 or 0.", func() float64 { return boolValue(i.Ready()) })
	i.gauge("store_reachable", "Whether the last call of the store succeeded: 1 or 0.", func() float64 { return boolValue(i.storeReachable.Load()) })
	i.gauge("config_revision", "Store revision of the configuration in force.", func() float64 { return float64(i.config.Revision()) })
	i.gauge("config_findings", "Documents and sources that are not obeyed.", func() float64 { return float64(len(i.config.Findings())) })
	i.gauge("requests_in_flight", "Requests of callers that run or wait.", func() float64 { return float64(i.requests.Count()) })
	i.gauge("forwarded_in_flight", "Requests of peers that run here.", func() float64 { return float64(i.forwarded.Count()) })
	i.gauge("accounts", "Client accounts in force.", func() float64 { return float64(len(i.catalog.Accounts())) })
	i.gauge("withdrawn_keys", "Withdrawn keys that are known.", func() float64 { return float64(len(i.catalog.Withdrawn())) })
	i.gauge("quarantined_requests", "Fingerprints that are refused or watched.", func() float64 {
		return float64(len(i.quarantine.Records(time.Now())))
	})
	i.registry.MustRegister(&fleetCollector{
		instance: i,
		members: prometheus.NewDesc(metricsNamespace+"_members", "Instances of the fleet as this one sees them, by state.",
			[]string{"state"}, nil),
		servers: prometheus.NewDesc(metricsNamespace+"_backend_servers", "Backend servers of the own failure domain.",
			[]string{"service", "usable"}, nil),
	})
}

func (i *Instance) gauge(name, help string, value func() float64) {
	i.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, value))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// fleetCollector counts members and backend servers.
type fleetCollector struct {
	instance         *Instance
	members, servers *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *fleetCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.members
	out <- c.servers
}

// Collect implements prometheus.Collector.
func (c *fleetCollector) Collect(out chan<- prometheus.Metric) {
	states := map[operatorapi.InstanceStatusState]int{
		operatorapi.InstanceStatusStateLive: 0, operatorapi.InstanceStatusStateLeaving: 0,
		operatorapi.InstanceStatusStateUnreachable: 0,
	}
	for _, member := range c.instance.Status().Instances {
		states[member.State]++
	}
	for state, n := range states {
		out <- prometheus.MustNewConstMetric(c.members, prometheus.GaugeValue, float64(n), string(state))
	}
	type group struct{ service, usable string }
	counts := make(map[group]int)
	for _, server := range c.instance.servers.All() {
		usable := "false"
		if server.Usable() {
			usable = "true"
		}
		counts[group{server.Service, usable}]++
	}
	for g, n := range counts {
		out <- prometheus.MustNewConstMetric(c.servers, prometheus.GaugeValue, float64(n), g.service, g.usable)
	}
}
