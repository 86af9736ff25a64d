package membership

import "time"

// Option changes a setting of State from its default.
type Option func(*settings)

// settings are the times that State works by.
type settings struct {
	interval    time.Duration
	timeout     time.Duration
	suspicion   time.Duration
	rejoin      time.Duration
	compare     time.Duration
	remembrance time.Duration
}

const (
	defaultInterval  = 200 * time.Millisecond
	defaultTimeout   = 100 * time.Millisecond
	defaultSuspicion = 400 * time.Millisecond
	rejoinInterval   = 2 * time.Second
	compareInterval  = 2 * time.Second
	remembrance      = 10 * time.Minute
)

func defaults() settings {
	return settings{
		interval:    defaultInterval,
		timeout:     defaultTimeout,
		suspicion:   defaultSuspicion,
		rejoin:      rejoinInterval,
		compare:     compareInterval,
		remembrance: remembrance,
	}
}

// WithProbeInterval sets the time between two probes of a neighbour; 200 ms by
// default. It is also how long this process may stand still unremarked.
func WithProbeInterval(d time.Duration) Option {
	return func(s *settings) { s.interval = d }
}

// WithAckTimeout sets how long an Ack may take; 100 ms by default. The way
// through others has twice that.
func WithAckTimeout(d time.Duration) Option {
	return func(s *settings) { s.timeout = d }
}

// WithSuspicionTimeout sets how long a suspected run has for its refutation; 400 ms
// by default. It grows for a run that refuted suspicions lately, and while
// this instance itself can't reach the peers it asks for help.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(s *settings) { s.suspicion = d }
}
