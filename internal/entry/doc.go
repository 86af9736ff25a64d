// Package entry serves callers over HTTP.
//
// A request goes through steps: route, authenticate, read the body, admit,
// claim, place, run, answer. Each step goes on or ends the request in one
// outcome. A refusal says not-run only if no byte of the request can have
// reached a target that may act on it; otherwise it says unknown. Everything
// that can change while a request waits (its organisation's key, its tokens,
// its claim) is checked again by the attempt's gate, just before the first
// byte goes to the target.
//
// What the steps need from the rest of the instance stands in ports: Admission,
// Claims, Dispatch and Strikes. The traffic path reads one immutable Snapshot.
//
// # Usage
//
//	handler := entry.New(entry.Dependencies{
//		Snapshots: snapshots,
//		Admission: admission,
//		Claims:    claims,
//		Dispatch:  dispatch,
//		Quarantine: quarantine,
//	}, entry.WithLogger(logger))
//	server := &http.Server{
//		Handler: handler,
//	}
package entry
