package fleet

import (
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
)

// takeMembership carries on what the membership put out.
func (s *State) takeMembership(effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			s.send(e.To, MembershipMessage{
				Message: e.Message,
			})
		case membership.MembersChanged:
			s.membersChanged(e.Members)
		case membership.NoticeReceived:
			s.takeRevision(s.revision.Handle(s.now, revision.Noticed{
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

// membersChanged tells the parts who is alive.
func (s *State) membersChanged(members []instance.Info) {
	s.members = members
	s.takeRevision(s.revision.Handle(s.now, revision.Members{
		Members: members,
	}))
	s.takeShare(s.share.Handle(s.now, share.MembersChanged{
		Members: members,
	}))
	s.takeHolder(s.holder.Handle(s.now, quota.MembersChanged{
		Members: members,
	}))
	s.takeClaims(s.claims.Handle(s.now, claim.MembersChanged{
		Members: members,
	}))
	s.emit(MembersChanged{
		Members: members,
	})
}
