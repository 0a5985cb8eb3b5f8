// Package loadgen puts load on a running fleet and measures what callers see.
//
// The load is an open loop: requests start at times that follow from the seed
// and never wait for answers, and every latency is counted from the planned
// start. A closed loop would slow down with the fleet and hide its queues.
package loadgen
