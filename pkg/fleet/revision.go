package fleet

import (
	"time"

	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/revision"
)

const (
	// contactInterval is how often contact is looked at.
	contactInterval = 250 * time.Millisecond
	// contactMargin is how long before the end of its term contact counts no
	// more, so that the revision of an instance that is cut off is trusted for
	// a few seconds and not for the whole term.
	contactMargin = 4 * time.Second
)

// takeRevision carries on what the revision put out.
func (s *State) takeRevision(effects []revision.Effect) {
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
			s.takeMembership(s.membership.Handle(s.now, membership.NoticeChanged{
				Notice: membership.Notice(e.Notice),
			}))
		case revision.Decided:
			s.emit(Decided{
				Component: "revision",
				Decision:  e.Verdict.String(),
				Subject:   string(e.From),
				Detail:    []any{"Revision", e.Notice.Number, "Reason", e.Reason},
			})
		}
	}
}

// lookForContact tells the revision when this instance is in contact.
func (s *State) lookForContact() {
	if s.now < s.contactAt {
		return
	}
	s.contactAt = s.now + contactInterval
	if s.share.InContact(s.now + contactMargin) {
		s.takeRevision(s.revision.Handle(s.now, revision.Contact{}))
	}
	s.tellTrust()
}

// tellTrust says until when traffic may act on the document. It says nothing
// until a started instance knows the fleet's strikes and where most rights are.
func (s *State) tellTrust() {
	if !s.ready {
		s.ready = s.strikesKnown && 2*s.share.ReachableShares(s.now) > s.total
	}
	until := s.revision.TrustedUntil()
	if !s.ready || until == s.trusted {
		return
	}
	s.trusted = until
	s.emit(TrustChanged{
		Until: until,
	})
}
