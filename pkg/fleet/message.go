package fleet

import (
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/target"
)

// Message is a message between two instances. It wraps a message of one
// component.
type Message interface{ message() }

// MembershipMessage is a message between membership states.
type MembershipMessage struct {
	Message membership.Message
}

// RevisionMessage is a message between revision states.
type RevisionMessage struct {
	Message revision.Message
}

// ShareMessage is a message between share states.
type ShareMessage struct {
	Message share.Message
}

// QuotaMessage is a message between quota states.
type QuotaMessage struct {
	Message quota.Message
}

// ClaimMessage is a message between claim states.
type ClaimMessage struct {
	Message claim.Message
}

// TargetReport carries an instance's observations to a service's authority.
type TargetReport struct {
	Report target.Report
}

// TargetVerdicts carries an authority's verdicts to all instances.
type TargetVerdicts struct {
	Verdicts target.Verdicts
}

// QuarantineMessage is a message between quarantine states.
type QuarantineMessage struct {
	Message quarantine.Message
}

func (MembershipMessage) message() {}
func (RevisionMessage) message()   {}
func (ShareMessage) message()      {}
func (QuotaMessage) message()      {}
func (ClaimMessage) message()      {}
func (TargetReport) message()      {}
func (TargetVerdicts) message()    {}
func (QuarantineMessage) message() {}
