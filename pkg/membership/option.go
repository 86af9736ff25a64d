package membership

import "time"

// Option changes a setting of State from its default.
type Option func(*settings)

// settings contains the intervals and timeouts of a State.
type settings struct {
	probeInterval    time.Duration
	ackTimeout       time.Duration
	suspicionTimeout time.Duration
	rejoinInterval   time.Duration
	syncInterval     time.Duration
	goneRetention    time.Duration
}

const (
	defaultProbeInterval    = 200 * time.Millisecond
	defaultAckTimeout       = 100 * time.Millisecond
	defaultSuspicionTimeout = 400 * time.Millisecond
	defaultRejoinInterval   = 2 * time.Second
	defaultSyncInterval     = 2 * time.Second
	defaultGoneRetention    = 10 * time.Minute
)

func defaults() settings {
	return settings{
		probeInterval:    defaultProbeInterval,
		ackTimeout:       defaultAckTimeout,
		suspicionTimeout: defaultSuspicionTimeout,
		rejoinInterval:   defaultRejoinInterval,
		syncInterval:     defaultSyncInterval,
		goneRetention:    defaultGoneRetention,
	}
}

// WithProbeInterval sets the time between two probes of the successor in the
// ring; 200 ms by default. A pause of this process is detected if it is longer
// than this interval.
func WithProbeInterval(d time.Duration) Option {
	return func(s *settings) { s.probeInterval = d }
}

// WithAckTimeout sets how long a direct probe waits for its Ack; 100 ms by
// default. An indirect probe waits twice as long.
func WithAckTimeout(d time.Duration) Option {
	return func(s *settings) { s.ackTimeout = d }
}

// WithSuspicionTimeout sets how long a suspected run has to refute the
// suspicion; 400 ms by default. The time is longer for a run that refuted
// suspicions lately, and while this instance can't reach the members that it
// asks for indirect probes.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(s *settings) { s.suspicionTimeout = d }
}
