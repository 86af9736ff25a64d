// Package source decides from where an instance gets the content of the store: from the
// store itself or from another instance.
//
// Each call to the store has a price, so they must not grow with the number of instances.
// One instance of each zone, the reader, reads the store for its zone; the others follow
// it and copy what it has. There are no elections: each instance orders the members of its
// zone by capacity and rendezvous hashing, and follows the first that it hasn't found to be
// of no use. An instance that finds itself first reads.
//
// A follower whose content has been confirmed lately may be copied, too. So an instance
// that loses its reader goes on with another follower while that one still has the reader,
// and needs the store only if it is next in order, or if several others in a row are of no
// use. Of those that read because nobody else seems to, the later in order wait longer, so
// that most of them find a new reader before.
//
// An instance that starts learns the members by one list. It copies from one of its zone,
// or, if nobody there has anything yet, waits until the others have registered: all of a
// zone may have started at once. An instance sends all its content to a few at a time; the
// others ask any instance of the zone, so that those that have it pass it on.
//
// # Usage
//
//	c := source.New(self)
//	c.SetMembers(membersOfTheZone)
//	switch a := c.Next(now, confirmation).(type) {
//	case source.Read:
//		// Read the store until Next returns something else.
//	case source.Follow:
//		// Copy from a.Instance, waiting until a.Until, and then:
//		c.Copied()
//		// or
//		c.Failed(now, a.Instance, source.Unanswered)
//	case source.CatchUp:
//		// Read the store once, and then:
//		c.CaughtUp(now, ok)
//	case source.Wait:
//		// Ask again after a.For.
//	}
//
// An instance that is asked for what it has:
//
//	switch r := c.Answer(now, arrivedAt, content).(type) {
//	case source.Give:
//		// Answer with the content.
//	case source.Hold:
//		// Decide again at r.Until, or when the content changes or is confirmed.
//	case source.Decline:
//		// Tell the follower to find another instance.
//	}
package source
