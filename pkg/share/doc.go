// Package share keeps the fleet's rights: who holds which share of every
// organisation's rate, and which instance coordinates which shard, so that the
// rights in use never add up to more than one.
//
// There are Total shares. A share is that part of every rate and burst, and one
// vote. Its record in the store (share/NN) names the holder, a Sequence that
// grows with each new holding, and the platform lease under which it was
// written. The holder may use the share while the store renews that lease, or
// while the holders of more than half the shares vouch for it, so that a store
// that is away for hours takes no rights with it. To vouch is to promise not to
// help anyone reclaim the share for a term.
//
// A share whose holder is gone is reclaimed once its platform lease has lapsed
// and the holders of more than half the shares have promised never again to
// vouch for its Sequence or an earlier one; then, within a term, by
// compare-and-swap to the next Sequence. Where too many holders died at once
// for that, promises by every instance that isn't proved dead take the place of
// the majority's. Restarted instances inherit nothing.
//
// Organisations, request keys and services are hashed into Shards. Each holder
// lends each shard of its shares to the highest-ranked instance that asks it,
// for a short term and to one at a time. An instance that has a shard from more
// than half the shares is the shard's only authority.
//
// A State is a deterministic machine: it gets events with the time, and returns
// effects. It opens no socket and reads no clock.
//
// # Usage
//
//	state := share.New(self, random, share.Total(64))
//	effects := state.Handle(now, share.MembersChanged{Members: members})
//	for _, e := range effects {
//		switch e := e.(type) {
//		case share.Send:
//			// Deliver e.Message to e.To; losing it is safe.
//		case share.StoreCall:
//			// Carry out e.Call; bring the outcome back as a StoreAnswer.
//		case share.BorrowedChanged:
//			// Scale the buckets of e.Borrowed.Shards.
//		case share.Decision:
//			// Log it.
//		}
//	}
//	wake(state.Next()) // then Handle(now, share.Tick{})
//	if state.HasAuthority(now, share.ShardOf("key", name)) {
//		// No other instance decides for this shard.
//	}
package share
