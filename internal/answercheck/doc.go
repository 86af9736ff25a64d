// Package answercheck checks the answers that arrive on a client's connections, beneath the HTTP
// client that reads them.
//
// net/http hides two things that decide whether an answer can be believed. It accepts heads that
// break the syntax of HTTP/1.1 and repairs or drops what it can't use, such as a blank in the name
// of a field. And it takes the end of a connection for the end of an answer without a length,
// although the kernel reports a reset only once: if it was reported to the write of the request,
// the read that follows ends as if the peer had closed in order.
//
// A Conn sees the bytes of both directions. It follows the head of each answer, the chunks of its
// body and its trailer, and its reads fail with ErrMalformed at the first line that breaks the
// syntax. Its reads fail with ErrRequestUnfinished if the connection ends before the request was
// written whole. Then no order of the events makes a reset look like an end: after a successful
// write of the last byte, only a read can be told of a reset.
//
// A peer that answers before it has read the whole request, gives no length and closes can't be
// told from one that fails meanwhile. Its answer is not believed either.
//
// Requests in chunks count as unfinished always: no client of this program sends any.
//
// # Usage
//
//	dialer := &net.Dialer{Timeout: time.Second}
//	client := &http.Client{
//		Transport: answercheck.NewTransport(dialer.DialContext),
//	}
//	response, err := client.Do(request)
//	if errors.Is(err, answercheck.ErrMalformed) {
//		// The peer has answered, but not in HTTP/1.1. The request may have run.
//	}
package answercheck
