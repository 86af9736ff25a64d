package fleet

import (
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
)

// handleMembershipEffects turns the effects of the membership into events of
// other components and effects of State.
func (s *State) handleMembershipEffects(effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			s.send(e.To, MembershipMessage{
				Message: e.Message,
			})
		case membership.MembersChanged:
			s.membersChanged(e.Members)
		case membership.NoticeReceived:
			s.handleRevisionEffects(s.revision.Handle(s.now, revision.NoticeReceived{
				From:   e.From,
				Notice: revision.Notice(e.Notice),
			}))
		case membership.Superseded:
			s.emit(Superseded{
				By: e.By,
			})
		case membership.Decided:
			s.emit(Decided{
				Component: "membership",
				Decision:  e.Kind.String(),
				Subject:   string(e.Subject.Address),
			})
		}
	}
}

// membersChanged passes the new members to the other components.
func (s *State) membersChanged(members []instance.Info) {
	s.members = members
	s.handleRevisionEffects(s.revision.Handle(s.now, revision.MembersChanged{
		Members: members,
	}))
	s.handleShareEffects(s.share.Handle(s.now, share.MembersChanged{
		Members: members,
	}))
	s.handleHolderEffects(s.holder.Handle(s.now, quota.MembersChanged{
		Members: members,
	}))
	s.handleClaimEffects(s.claims.Handle(s.now, claim.MembersChanged{
		Members: members,
	}))
	s.emit(MembersChanged{
		Members: members,
	})
}
