// Package share distributes the fleet's rights: which instance holds which
// share of every organisation's rate, and which instance coordinates which
// shard, so that the rights in use never exceed the configured rate.
//
// The rights are divided into Total shares. A share is an equal part of every
// rate and burst, and has one vote. Its record in the store (share/NN) names
// the holder, a Sequence that grows with each new holding, and the platform
// lease (a lease in the store) under which the record was written. The holder
// may use the share while the store renews that lease, or while the holders of
// more than half the shares confirm the holder's right, so that an outage of
// the store for hours costs no rights. A confirmation means that the voter
// helps nobody to reclaim the share for a term.
//
// A share whose holder is gone can be reclaimed once its platform lease has
// ended and the holders of more than half the shares have fenced its Sequence:
// they will never again confirm that Sequence or an earlier one of the share.
// Within a term of sending the requests for these fences, the claimant writes the
// next Sequence by compare-and-swap. If too many holders died at once for a majority, fences by
// every instance that isn't proved dead replace the majority's. Restarted
// instances inherit nothing.
//
// Organisations, request keys and services are hashed to Shards. Each holder
// lends each shard of its shares to the highest-ranked instance that requests
// it, for a short term and to one instance at a time. An instance is the
// coordinator of the shards that it has borrowed. If it has borrowed a shard from
// the holders of more than half the shares, it is the only authority for the shard.
//
// A State is a deterministic state machine: it is given events with the time,
// and returns effects. It opens no sockets and reads no clock.
//
// # Usage
//
//	state := share.New(self, random, share.Total(64))
//	effects := state.Handle(now, share.MembersChanged{Members: members})
//	for _, e := range effects {
//		switch e := e.(type) {
//		case share.Send:
//			// Deliver e.Message to e.To. Messages may be lost.
//		case share.StoreCall:
//			// Make e.Call, and pass its outcome to Handle as a StoreAnswer.
//		case share.BorrowedChanged:
//			// Update the limits of e.Borrowed.Shards.
//		case share.Decision:
//			// Log the decision.
//		}
//	}
//	wake(state.Next()) // Call Handle(now, share.Tick{}) at that time.
//	if state.HasAuthority(now, share.ShardOf("key", name)) {
//		// No other instance decides for this shard.
//	}
package share
