// Package quarantine keeps a request that crashes targets from crashing more of
// them.
//
// A request is identified by its Fingerprint: organisation, route, method, path and
// the body's digest. When a target's connection dies while a request runs there, the
// fingerprint gets a strike, which the instance sends to all others. StrikeSpread
// says when they have acknowledged it. An instance may answer the caller without
// waiting for that, but then a resend that reaches another instance before the strike
// may crash one more target.
//
// A fingerprint with one strike is a suspect. A suspect runs only with a permit of
// its authority, the instance that coordinates the fingerprint's shard, which allows
// one run in the whole fleet at a time. If that run succeeds, the fingerprint is
// cleared: it runs freely again, but its next strike quarantines it. If that run
// crashes a target too, or its permit lapses without a release, the fingerprint has
// two strikes and is quarantined: every instance refuses it until the strikes
// expire. So a request that crashes each target that runs it costs two targets, if the
// caller's answer is held back until StrikeSpread; otherwise a resend that overtakes
// the strike may cost one more.
//
// A permit is a lease. Its holder counts the term from when it sent the request, the
// authority from when it replied. A new authority grants no permit until those of
// its predecessor have lapsed.
//
// This doesn't cover copies of a request that run at the same time before the first
// one has crashed a target, and instances that a strike can't reach. Each such copy
// may crash one more target.
//
// A crash ends all other requests that run on the target, so if a target dies with
// many different fingerprints, the target is more likely the cause than the
// requests. Strikes from one target are therefore limited, and package target
// decides about the target. The table of strikes is bounded.
//
// Tally is a simpler, separate rule: each instance counts the different targets that a
// request crashed, as far as it was told, and refuses it once there are three, without
// permits or an authority. Quarantined requests are stored where instances that start
// later find them.
//
// # Usage
//
// Request handling reads the newest Snapshot, without locks:
//
//	outline := quarantine.OutlineOf(organisation, route, method, path)
//	if snapshot.HasOutline(outline) {
//		f := quarantine.FingerprintOf(outline, bodyDigest)
//		switch status, _ := snapshot.Lookup(now, f); status {
//		case quarantine.Suspect:
//			// Handle a PermitRequested event; run if PermitAnswered permits it.
//		case quarantine.Quarantined:
//			// Refuse the request without running it.
//		}
//	}
//
// One goroutine owns the State and carries out its effects:
//
//	for _, e := range state.Handle(now, quarantine.Crashed{...}) {
//		switch e := e.(type) {
//		case quarantine.Send:
//		case quarantine.StrikeSpread:
//		}
//	}
package quarantine
