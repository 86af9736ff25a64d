// Package ingress serves HTTP/1.1 connections of callers, which may send requests before
// earlier ones are answered.
//
// It does for callers' connections what http.Server does, with three differences. Requests
// without a body that the Handler calls independent run beside each other; their answers
// leave in the order of the requests (package pipeline decides which start). When a server
// leaves, each connection ends with the answer to the last request that was started, and is
// closed so that no reset destroys that answer. An answer that breaks off never looks
// complete.
//
// A handler writes its answer as usual. It may call AwaitTurn first, and knows from
// ArrivalOf when its request was received.
//
// # Usage
//
//	s := ingress.New(handler, ingress.WithIdleTimeout(time.Minute))
//	go s.Serve(listener)
//	...
//	s.Leave()       // Connections end with their next answers.
//	s.Shutdown(ctx) // No more connections; waits for the requests in progress.
package ingress
