// Package peer carries frames between instances.
//
// Two instances share one TCP connection with a yamux session on it, whichever
// of them dialled, so that two instances that can connect in only one direction
// still exchange frames in both. Each side opens one stream and writes
// length-prefixed frames to it. The first frame on a stream is a Hello with the
// sender's address and incarnation. Sending never blocks: each peer has a bounded
// queue, and a frame that finds it full is dropped, since the protocols above
// tolerate lost messages. Frames that are queued together go out in one write.
//
// A peer that sends garbage, an oversized frame or nothing at all is
// disconnected; until then it occupies one session and one frame buffer, for
// HelloTimeout if it sends nothing.
//
// # Usage
//
//	network := peer.New(self, receive, peer.WithLogger(logger))
//	go network.Serve(listener)
//	network.Send("10.0.0.7:7000", frame)
//	defer network.Close()
package peer
