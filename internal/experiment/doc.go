// Package experiment compares the fleet's policy with a plain baseline, under
// load and under faults. The policy is the rules of packages target, placement,
// queue, retry and quarantine.
//
// It calls the exported functions of these packages on virtual time, and models
// targets by their slots, log-normal service times and faults. It does not
// simulate a cluster: there are no networks or processes.
//
// # Usage
//
//	go run ./cmd/experiment -directory out
package experiment
