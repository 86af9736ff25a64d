// Package pipeline decides when the requests of one connection start and in which order
// they are answered.
//
// A caller may send requests before earlier ones are answered. Those that are independent
// run beside each other; an exclusive request runs alone. Answers leave in the order of the
// requests. A Queue bounds the requests in progress on its connection, and Places those
// that run ahead of earlier answers on all connections, so that no caller takes the memory
// or the time of the others.
//
// A connection that is to be closed starts nothing more. What has started is answered, and
// the last of these answers says that the connection closes: callers send again whatever
// they sent behind that answer.
//
// # Usage
//
//	places := pipeline.NewPlaces(256)
//	q := pipeline.New(places, 8) // for each connection
//	if q.MayReceive() {
//		// Read the next request.
//		q.Receive(pipeline.Independent)
//	}
//	for id, ok := q.Start(); ok; id, ok = q.Start() {
//		// Run request id. When its answer is ready and q.Head() is id, write it; with
//		// q.Last() the connection closes after it.
//	}
//	q.End() // The answer of q.Head() has been written.
package pipeline
