// Package forward sends a request to a target at most once and reports whether
// a failed attempt may have reached the target.
//
// net/http may resend a request by itself when a kept-alive connection breaks,
// and it does not report how much of a failed request was written. Each
// connection to a target is therefore wrapped. The wrapper knows which attempt
// owns it, calls the attempt's gate just before the first byte, records that a
// byte was written, and can be sealed, after which no further byte is written.
// A failed attempt first seals its connection and then reads the record, so no
// later write can invalidate the result "nothing was sent". If net/http gives an
// attempt that has already written a second connection, that connection is
// sealed before it is used.
//
// # Usage
//
//	client := forward.New(forward.WithIdleTimeout(time.Minute))
//	result := client.Do(ctx, forward.Attempt{
//		Address: "10.0.0.7:8080",
//		Request: outgoing,
//		Gate:    grant.Check,
//	})
//	switch r := result.(type) {
//	case forward.Answered:
//		// Read and close r.Response.Body.
//	case forward.Failed:
//		// r.Err.Stage tells whether a byte may have reached the target.
//	}
package forward
