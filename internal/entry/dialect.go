package entry

// Dialect names the headers that callers, the fleet and targets exchange, and
// the few habits in which deployments differ. Default is the fleet's own.
type Dialect struct {
	// RequestIDHeader carries a request's id to targets; their answers echo it.
	RequestIDHeader string
	// ForwardCallerIDs is set where the caller's own id goes on to targets, instead of
	// one id for each attempt.
	ForwardCallerIDs bool
	// TimeoutHeader carries the time left, in milliseconds.
	TimeoutHeader string
	// OrganisationHeader names the organisation whose key came with a request.
	OrganisationHeader string
	// ShedHeader marks an answer of a target that has not run the request.
	ShedHeader string
	// DrainHeader marks the answers of a target that is leaving; empty if there is no
	// such header.
	DrainHeader string
	// ExpectedTargetHeader carries the name of the target that an attempt is meant for, so
	// that another one at the same address refuses it; empty if there is none.
	ExpectedTargetHeader string
	// SignatureHeader must stand in each success of a target and goes to the caller;
	// empty if targets don't sign.
	SignatureHeader string
	// AllowUnframed answers, which end with their connection, are passed on after a
	// clean end. Otherwise they are refused.
	AllowUnframed bool
	// StatusImpliesNotRun is set where callers take 408, 421, 429 and 503 for a
	// promise that nothing has run, whatever else the answer says.
	StatusImpliesNotRun bool
	// FractionalRetryAfter is set where Retry-After may hold fractions.
	FractionalRetryAfter bool
}

// DefaultDialect is what the fleet speaks of its own.
func DefaultDialect() Dialect {
	return Dialect{
		RequestIDHeader:    RequestIDHeader,
		TimeoutHeader:      TimeoutHeader,
		OrganisationHeader: OrganisationHeader,
		ShedHeader:         ShedHeader,
		DrainHeader:        DrainHeader,
	}
}

// WithDialect sets the headers and habits of callers and targets.
func WithDialect(d Dialect) Option {
	return func(h *Handler) { h.dialect = d }
}
