package revision

import "time"

// Option changes a setting of State from its default.
type Option func(*settings)

// settings are the times and counts that State works by.
type settings struct {
	freshness time.Duration
	watchers  int
	safety    time.Duration
	resort    time.Duration
}

const (
	defaultFreshness = 5 * time.Second
	defaultWatchers  = 2
	defaultSafety    = 2 * time.Second
	defaultResort    = 5 * time.Second
)

func defaults() settings {
	return settings{
		freshness: defaultFreshness,
		watchers:  defaultWatchers,
		safety:    defaultSafety,
		resort:    defaultResort,
	}
}

// WithFreshness sets how long a revision is trusted without contact, and how
// long a newer one may be known of and not be in force; 5 s by default.
func WithFreshness(d time.Duration) Option {
	return func(s *settings) { s.freshness = d }
}

// WithWatchersPerRegion sets how many instances of each region watch the store; two by
// default.
func WithWatchersPerRegion(count int) Option {
	return func(s *settings) { s.watchers = count }
}

// WithReadInterval sets how often a watcher reads the head besides watching it;
// 2 s by default.
func WithReadInterval(d time.Duration) Option {
	return func(s *settings) { s.safety = d }
}

// WithFallbackInterval sets how often an instance that no peer helps reads the
// store, if it were alone; 5 s by default. In a fleet of n it waits n/8 times
// as long, so that the store's load doesn't grow with the fleet.
func WithFallbackInterval(d time.Duration) Option {
	return func(s *settings) { s.resort = d }
}
