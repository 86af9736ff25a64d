// Package zoneload holds what an allocator knows of the load of its services in other zones.
package zoneload

import "time"

// Report is the state of a service in a zone, as seen by its allocator.
type Report struct {
	Service     string
	Zone        string
	Targets     int
	Slots       int
	InUse       int
	Waiting     int
	ServiceTime time.Duration
}

// State is a Report with its age and what may still be sent to the zone.
type State struct {
	Report
	Age  time.Duration
	Free int
}

// Table holds the reports of other zones. It is not safe for concurrent use.
type Table struct{}

// New returns an empty table of an allocator in a zone.
func New(string) *Table { return &Table{} }

// Receive records a report.
func (t *Table) Receive(time.Duration, Report) {}

// Sent records that one request was sent to a zone.
func (t *Table) Sent(_ time.Duration, _, _ string) {}

// Declined records that a zone had no capacity after all.
func (t *Table) Declined(_ time.Duration, _, _ string) {}

// Zones returns the state of a service in the known zones.
func (t *Table) Zones(time.Duration, string, []string) []State { return nil }
