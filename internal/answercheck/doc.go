// Package answercheck checks the answers that arrive on a client's connections, beneath the HTTP
// client that reads them.
//
// net/http takes the end of a connection for the end of an answer without a length. But the kernel
// reports a reset only once: if it was reported to the write of the request, the read that follows
// ends as if the peer had closed in order.
//
// A Conn sees the bytes of both directions. Its reads fail with ErrRequestUnfinished if the
// connection ends before the request was written whole. Then no order of the events makes a reset
// look like an end: after a successful write of the last byte, only a read can be told of a reset.
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
//		Transport: &http.Transport{
//			DialContext: answercheck.Dial(dialer.DialContext),
//		},
//	}
//	response, err := client.Do(request)
//	if errors.Is(err, answercheck.ErrRequestUnfinished) {
//		// The peer may have read enough of the request to run it.
//	}
package answercheck
