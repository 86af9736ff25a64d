package zoneload

// Option configures a Table.
type Option func(*Table)

// WithRoundTrips sets the estimates by which the table tells which requests a report includes. The
// default is an estimate without samples.
func WithRoundTrips(r *RoundTrips) Option {
	return func(t *Table) { t.trips = r }
}
