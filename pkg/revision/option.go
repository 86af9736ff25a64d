package revision

import "time"

// Option changes a setting of State from its default.
type Option func(*settings)

// settings holds the intervals and counts that State uses. The functions With...
// describe them.
type settings struct {
	freshness         time.Duration
	watchersPerRegion int
	readInterval      time.Duration
	fallbackInterval  time.Duration
}

const (
	defaultFreshness         = 5 * time.Second
	defaultWatchersPerRegion = 2
	defaultReadInterval      = 2 * time.Second
	defaultFallbackInterval  = 5 * time.Second
)

// defaults returns the default settings.
func defaults() settings {
	return settings{
		freshness:         defaultFreshness,
		watchersPerRegion: defaultWatchersPerRegion,
		readInterval:      defaultReadInterval,
		fallbackInterval:  defaultFallbackInterval,
	}
}

// WithFreshness sets how long a revision is trusted without contact to the fleet,
// and how long it is trusted after a newer one became known that isn't in force
// here. The default is 5 s.
func WithFreshness(d time.Duration) Option {
	return func(s *settings) { s.freshness = d }
}

// WithWatchersPerRegion sets how many instances of each region watch the store. The
// default is 2.
func WithWatchersPerRegion(count int) Option {
	return func(s *settings) { s.watchersPerRegion = count }
}

// WithReadInterval sets how often a watcher reads the head in addition to watching
// it. The default is 2 s.
func WithReadInterval(d time.Duration) Option {
	return func(s *settings) { s.readInterval = d }
}

// WithFallbackInterval sets how often an instance that gets no help from its peers
// reads the store, in a fleet of up to eight instances. In a fleet of n instances
// the interval is n/8 times as long, so that the load on the store doesn't grow with
// the fleet. The default is 5 s.
func WithFallbackInterval(d time.Duration) Option {
	return func(s *settings) { s.fallbackInterval = d }
}
