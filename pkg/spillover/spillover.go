// Package spillover decides when a request leaves its zone.
package spillover

import "time"

// Home is the state of the service in the home zone.
type Home struct {
	Free    int
	Waiting int
	Wait    time.Duration
	Targets int
}

// Request is what is known of the request.
type Request struct {
	Left        time.Duration
	Objective   time.Duration
	ServiceTime time.Duration
}

// Zone is another zone.
type Zone struct {
	Name      string
	Free      int
	RoundTrip time.Duration
}

// Decision is Stay or Leave.
type Decision interface{ decision() }

// Stay keeps the request in its zone.
type Stay struct{ Reason string }

// Leave sends it to another zone.
type Leave struct {
	Zone   string
	Gain   time.Duration
	Reason string
}

func (Stay) decision()  {}
func (Leave) decision() {}

// Decide decides where a request goes that finds no free slot in its zone.
func Decide(Home, Request, []Zone) Decision { return Stay{} }
