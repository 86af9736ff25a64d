package entry

// Dialect names the headers that callers, the fleet and targets exchange, and sets
// the few points in which the behaviour of deployments differs.
type Dialect struct {
	// RequestIDHeader carries a request's id to targets. If a target's answer has
	// this header, it must hold the same id. If ForwardCallerIDs is set, callers
	// send the header as well and get it back with a target's answer.
	RequestIDHeader string
	// ForwardCallerIDs is set if targets get the request id that the caller sent,
	// instead of a generated id for each attempt.
	ForwardCallerIDs bool
	// TimeoutHeader carries, in milliseconds, the timeout that a caller sets and the
	// time left that a target gets.
	TimeoutHeader string
	// OrganisationHeader names the organisation whose key came with a request.
	OrganisationHeader string
	// ShedHeader marks an answer of a target that didn't run the request. It counts
	// only with status 503 and the value "true", unless StatusImpliesNotRun is set.
	ShedHeader string
	// DrainHeader marks the answers of a target that is leaving; empty if there is
	// no such header.
	DrainHeader string
	// ExpectedTargetHeader carries the name of the target that an attempt is meant for, so
	// that another one at the same address refuses it; empty if there is none.
	ExpectedTargetHeader string
	// TargetLimitHeader names, in a target's answer, the requests a second that the target
	// takes from all instances together, as a decimal number; empty if there is none.
	TargetLimitHeader string
	// SignatureHeader must be present in each successful answer of a target, and is
	// passed on to the caller; empty if targets don't sign their answers.
	SignatureHeader string
	// AllowUnframed is set if answers without a length, which end with their
	// connection, are relayed. Otherwise they are rejected, since a truncated one
	// looks complete.
	AllowUnframed bool
	// StatusImpliesNotRun is set if callers conclude from a status of 408, 421, 429
	// or 503 that the request has not run, whatever else the answer says. A target
	// then sheds a request with any error status and the ShedHeader.
	StatusImpliesNotRun bool
	// FractionalRetryAfter is set if callers accept fractions of a second in
	// Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect returns the fleet's own dialect.
func DefaultDialect() Dialect {
	return Dialect{
		RequestIDHeader:    RequestIDHeader,
		TimeoutHeader:      TimeoutHeader,
		OrganisationHeader: OrganisationHeader,
		ShedHeader:         ShedHeader,
		DrainHeader:        DrainHeader,
	}
}

// WithDialect sets the dialect of callers and targets. The default is
// DefaultDialect.
func WithDialect(d Dialect) Option {
	return func(h *Handler) { h.dialect = d }
}
