package wire

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/fleet"
)

// Encode encodes a message between instances as one frame. It returns an error
// if protobuf can't encode the message.
func Encode(m fleet.Message) ([]byte, error) {
	envelope := &gen.Envelope{}
	switch m := m.(type) {
	case fleet.MembershipMessage:
		envelope.Part = &gen.Envelope_Membership{
			Membership: EncodeMembership(m.Message),
		}
	case fleet.RevisionMessage:
		envelope.Part = &gen.Envelope_Revision{
			Revision: EncodeRevision(m.Message),
		}
	case fleet.ShareMessage:
		envelope.Part = &gen.Envelope_Share{
			Share: EncodeShare(m.Message),
		}
	case fleet.QuotaMessage:
		envelope.Part = &gen.Envelope_Quota{
			Quota: EncodeQuota(m.Message),
		}
	case fleet.ClaimMessage:
		envelope.Part = &gen.Envelope_Claim{
			Claim: EncodeClaim(m.Message),
		}
	case fleet.TargetReport:
		envelope.Part = encodePolicyPart(Policy{
			Report: &m.Report,
		})
	case fleet.TargetVerdicts:
		envelope.Part = encodePolicyPart(Policy{
			Verdicts: &m.Verdicts,
		})
	case fleet.QuarantineMessage:
		envelope.Part = encodePolicyPart(Policy{
			Quarantine: m.Message,
		})
	}
	content, err := proto.Marshal(envelope)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	return content, nil
}

// Decode decodes a frame. Its errors wrap ErrMalformed, ErrMalformedClaim or
// ErrMalformedQuota.
func Decode(frame []byte) (fleet.Message, error) {
	envelope := &gen.Envelope{}
	if err := proto.Unmarshal(frame, envelope); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	switch p := envelope.GetPart().(type) {
	case *gen.Envelope_Membership:
		m, err := DecodeMembership(p.Membership)
		return fleet.MembershipMessage{
			Message: m,
		}, err
	case *gen.Envelope_Revision:
		m, err := DecodeRevision(p.Revision)
		return fleet.RevisionMessage{
			Message: m,
		}, err
	case *gen.Envelope_Share:
		m, err := DecodeShare(p.Share)
		return fleet.ShareMessage{
			Message: m,
		}, err
	case *gen.Envelope_Quota:
		m, err := DecodeQuota(p.Quota)
		return fleet.QuotaMessage{
			Message: m,
		}, err
	case *gen.Envelope_Claim:
		m, err := DecodeClaim(p.Claim)
		return fleet.ClaimMessage{
			Message: m,
		}, err
	case *gen.Envelope_Policy:
		return decodePolicyPart(p.Policy)
	}
	return nil, errors.Wrap(ErrMalformed, "envelope without a known part")
}

func encodePolicyPart(p Policy) *gen.Envelope_Policy {
	return &gen.Envelope_Policy{
		Policy: EncodePolicy(p),
	}
}

func decodePolicyPart(m *gen.PolicyMessage) (fleet.Message, error) {
	p, err := DecodePolicy(m)
	if err != nil {
		return nil, err
	}
	switch {
	case p.Report != nil:
		return fleet.TargetReport{
			Report: *p.Report,
		}, nil
	case p.Verdicts != nil:
		return fleet.TargetVerdicts{
			Verdicts: *p.Verdicts,
		}, nil
	default:
		return fleet.QuarantineMessage{
			Message: p.Quarantine,
		}, nil
	}
}
