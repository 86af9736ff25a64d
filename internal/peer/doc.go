// Package peer carries frames between instances.
//
// A TCP connection with a yamux session on it carries frames in both directions,
// whichever instance dialled it, so that two instances that can connect in only
// one direction still exchange frames in both. If both dial at the same time, two
// connections stay open. Each side opens one stream, on the connection that it
// sends over, and writes length-prefixed frames to it. The first frame on a stream is a Hello with the
// sender's address and incarnation. Sending never blocks: each peer has a bounded
// queue, and a frame that finds it full is dropped, since the protocols above
// tolerate lost messages. Frames that are queued together go out in one write.
//
// A peer that sends garbage or an oversized frame, or dials and sends nothing, is
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
