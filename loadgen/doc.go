// Package loadgen sends load to a running fleet and measures what callers see.
//
// The load is an open loop: the seed determines when requests start, none waits for
// the response to another, and every latency is measured from the planned start. A
// closed loop would slow down with the fleet and hide its queueing delays.
package loadgen
