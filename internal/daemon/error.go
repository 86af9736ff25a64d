package daemon

// Error is a failure of an instance.
type Error struct {
	// Component is the part of the instance that failed.
	Component string
	cause     error
}

// Error implements error.
func (e *Error) Error() string { return "instance: " + e.Component + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// wrap adds the name of the component that failed. A nil error stays nil.
func wrap(component string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{
		Component: component,
		cause:     err,
	}
}
