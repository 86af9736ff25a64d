package fleet

import (
	"time"

	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/revision"
)

const (
	// contactInterval is the time between two checks whether this instance is
	// in contact.
	contactInterval = 250 * time.Millisecond
	// contactMargin is how long before the end of the contact term an instance
	// counts as out of contact. An instance that is cut off thus trusts its
	// revision for a few seconds instead of the whole term.
	contactMargin = 4 * time.Second
)

// handleRevisionEffects turns the effects of the revision into events of the
// membership and effects of State.
func (s *State) handleRevisionEffects(effects []revision.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case revision.Send:
			s.send(e.To, RevisionMessage{
				Message: e.Message,
			})
		case revision.StoreCall:
			s.emit(StoreCall{
				Component: ComponentRevision,
				Number:    e.Number,
				Call:      e.Call,
			})
		case revision.StoreCancel:
			s.emit(StoreCancel{
				Component: ComponentRevision,
				Number:    e.Number,
			})
		case revision.Apply:
			s.emit(Load{
				Head:  e.Head,
				Parts: e.Parts,
			})
		case revision.NoticeChanged:
			s.handleMembershipEffects(s.membership.Handle(s.now, membership.NoticeChanged{
				Notice: membership.Notice(e.Notice),
			}))
		case revision.Decided:
			s.emit(Decided{
				Component: "revision",
				Decision:  e.Kind.String(),
				Subject:   string(e.From),
				Detail:    []any{"Revision", e.Notice.Number, "Reason", e.Reason},
			})
		}
	}
}

// checkContact informs the revision at each interval if this instance is in
// contact.
func (s *State) checkContact() {
	if s.now < s.nextContactCheck {
		return
	}
	s.nextContactCheck = s.now + contactInterval
	if s.share.InContact(s.now + contactMargin) {
		s.handleRevisionEffects(s.revision.Handle(s.now, revision.Contact{}))
	}
	s.publishTrust()
}

// publishTrust emits TrustChanged if the time until which traffic may use the
// document has changed. A started instance publishes nothing until it knows the
// strikes of the fleet and reaches the holders of more than half of the shares.
func (s *State) publishTrust() {
	if !s.ready {
		s.ready = s.strikesKnown && 2*s.share.ReachableShares(s.now) > s.shareTotal
	}
	until := s.revision.TrustedUntil()
	if !s.ready || until == s.publishedTrust {
		return
	}
	s.publishedTrust = until
	s.emit(TrustChanged{
		Until: until,
	})
}
