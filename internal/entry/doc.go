// Package entry serves callers over HTTP.
//
// A request passes through these steps: find its route, authenticate the caller,
// read the body, admit it within the organisation's rate, check the quarantine,
// claim its idempotency key, acquire a slot at a target, send an attempt, relay
// the answer. A step that fails ends the request with a Refusal. A refusal's
// outcome is "not-run" only if no byte of the request can have reached a target
// that may act on it; otherwise it is "unknown". Whatever can change while a
// request waits (its organisation's key, its grant, its claim) is checked again
// just before the first byte is sent to the target.
//
// The rest of the instance is reached through the interfaces in Dependencies.
// Requests read the configuration from an immutable Snapshot.
//
// # Usage
//
//	handler := entry.New(entry.Dependencies{
//		Snapshots:  snapshots,
//		Admission:  admission,
//		Claims:     claims,
//		Dispatcher: dispatcher,
//		Quarantine: quarantine,
//	}, entry.WithLogger(logger))
//	server := &http.Server{
//		Handler: handler,
//	}
package entry
