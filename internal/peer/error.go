package peer

// Error is a failure on the network between instances.
type Error struct {
	// Operation is the step that failed.
	Operation string
	cause     error
}

// Error implements error.
func (e *Error) Error() string { return "peer " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
