package wire

import (
	"github.com/go-faster/errors"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
)

// Upper bounds of what messages about claims may contain.
const (
	maxClaimRecords = 1 << 17
	maxLosses       = 1 << 12
	maxZoneBytes    = 64
	maxStatusCode   = 999 // an HTTP status
)

// ErrMalformedClaim means that a message about claims is malformed.
var ErrMalformedClaim = errors.New("malformed claim message")

// EncodeClaim converts a message to its wire form. It returns nil for a message
// of an unknown type.
func EncodeClaim(m claim.Message) *gen.ClaimMessage {
	switch m := m.(type) {
	case claim.Claim:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Claim{
				Claim: &gen.ClaimClaim{
					Number:  m.Number,
					Request: m.Request,
					Key:     m.Key[:],
				},
			},
		}
	case claim.Decision:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Verdict{
				Verdict: &gen.ClaimVerdict{
					Number:  m.Number,
					Request: m.Request,
					Key:     m.Key[:],
					Result:  uint32(m.Result),
					Outcome: encodeClaimOutcome(m.Outcome),
				},
			},
		}
	case claim.Finish:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Finish{
				Finish: &gen.ClaimFinish{
					Key:      m.Key[:],
					Request:  m.Request,
					Claimant: encodeClaimInstance(m.Claimant),
					Outcome:  encodeClaimOutcome(m.Outcome),
				},
			},
		}
	case claim.Release:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Release{
				Release: &gen.ClaimRelease{
					Key:      m.Key[:],
					Request:  m.Request,
					Claimant: encodeClaimInstance(m.Claimant),
				},
			},
		}
	case claim.Departed:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Departed{
				Departed: &gen.ClaimDeparted{},
			},
		}
	}
	return encodeClaimTransfer(m)
}

// encodeClaimTransfer converts the messages that transfer records between
// instances.
func encodeClaimTransfer(m claim.Message) *gen.ClaimMessage {
	switch m := m.(type) {
	case claim.Copy:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Copy{
				Copy: &gen.ClaimCopy{
					Number:  m.Number,
					Records: encodeClaimRecords(m.Records),
				},
			},
		}
	case claim.Copied:
		c := &gen.ClaimCopied{
			Number: m.Number,
		}
		for _, k := range m.AlreadyHeld {
			c.Held = append(c.Held, k[:])
		}
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Copied{
				Copied: c,
			},
		}
	case claim.Collect:
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Collect{
				Collect: &gen.ClaimCollect{
					Number: m.Number,
					Shards: encodeShards(m.Shards),
				},
			},
		}
	case claim.Collected:
		c := &gen.ClaimCollected{
			Number:           m.Number,
			Records:          encodeClaimRecords(m.Records),
			KnownNanoseconds: uint64(m.LossesKnownFor),
		}
		for _, l := range m.Losses {
			c.Losses = append(c.Losses, &gen.ClaimLoss{
				Id:              encodeClaimInstance(l.ID),
				Zone:            l.Zone,
				LeftNanoseconds: uint64(l.Remaining),
			})
		}
		return &gen.ClaimMessage{
			Kind: &gen.ClaimMessage_Collected{
				Collected: c,
			},
		}
	}
	return nil
}

// DecodeClaim converts a message from its wire form. Its errors wrap
// ErrMalformedClaim.
func DecodeClaim(m *gen.ClaimMessage) (claim.Message, error) {
	d := decoder{
		malformed: ErrMalformedClaim,
	}
	var message claim.Message
	switch k := m.GetKind().(type) {
	case *gen.ClaimMessage_Claim:
		message = claim.Claim{
			Number:  k.Claim.GetNumber(),
			Request: k.Claim.GetRequest(),
			Key:     d.claimKey(k.Claim.GetKey()),
		}
	case *gen.ClaimMessage_Verdict:
		message = claim.Decision{
			Number:  k.Verdict.GetNumber(),
			Request: k.Verdict.GetRequest(),
			Key:     d.claimKey(k.Verdict.GetKey()),
			Result:  claim.Result(d.number(k.Verdict.GetResult(), uint32(claim.TooFewReplicas))),
			Outcome: d.claimOutcome(k.Verdict.GetOutcome()),
		}
	case *gen.ClaimMessage_Finish:
		message = claim.Finish{
			Key:      d.claimKey(k.Finish.GetKey()),
			Request:  k.Finish.GetRequest(),
			Claimant: d.claimInstance(k.Finish.GetClaimant()),
			Outcome:  d.claimOutcome(k.Finish.GetOutcome()),
		}
	case *gen.ClaimMessage_Release:
		message = claim.Release{
			Key:      d.claimKey(k.Release.GetKey()),
			Request:  k.Release.GetRequest(),
			Claimant: d.claimInstance(k.Release.GetClaimant()),
		}
	case *gen.ClaimMessage_Departed:
		message = claim.Departed{}
	default:
		message = d.claimTransfer(m)
	}
	if d.err != nil {
		return nil, d.err
	}
	return message, nil
}

func (d *decoder) claimTransfer(m *gen.ClaimMessage) claim.Message {
	switch k := m.GetKind().(type) {
	case *gen.ClaimMessage_Copy:
		return claim.Copy{
			Number:  k.Copy.GetNumber(),
			Records: d.claimRecords(k.Copy.GetRecords()),
		}
	case *gen.ClaimMessage_Copied:
		c := claim.Copied{
			Number: k.Copied.GetNumber(),
		}
		for _, key := range bounded(d, k.Copied.GetHeld(), maxClaimRecords) {
			c.AlreadyHeld = append(c.AlreadyHeld, d.claimKey(key))
		}
		return c
	case *gen.ClaimMessage_Collect:
		return claim.Collect{
			Number: k.Collect.GetNumber(),
			Shards: d.shards(k.Collect.GetShards()),
		}
	case *gen.ClaimMessage_Collected:
		c := claim.Collected{
			Number:         k.Collected.GetNumber(),
			Records:        d.claimRecords(k.Collected.GetRecords()),
			LossesKnownFor: d.duration(k.Collected.GetKnownNanoseconds()),
		}
		for _, l := range bounded(d, k.Collected.GetLosses(), maxLosses) {
			c.Losses = append(c.Losses, claim.Loss{
				ID:        d.claimInstance(l.GetId()),
				Zone:      d.text(l.GetZone(), maxZoneBytes),
				Remaining: d.duration(l.GetLeftNanoseconds()),
			})
		}
		return c
	}
	d.fail("unknown kind")
	return nil
}

func encodeClaimRecords(list []claim.Record) []*gen.ClaimRecord {
	var records []*gen.ClaimRecord
	for _, r := range list {
		records = append(records, &gen.ClaimRecord{
			Key:             r.Key[:],
			Claimant:        encodeClaimInstance(r.Claimant),
			Request:         r.Request,
			Outcome:         encodeClaimOutcome(r.Outcome),
			LeftNanoseconds: uint64(r.Remaining),
		})
	}
	return records
}

func (d *decoder) claimRecords(list []*gen.ClaimRecord) []claim.Record {
	var records []claim.Record
	for _, r := range bounded(d, list, maxClaimRecords) {
		records = append(records, claim.Record{
			Key:       d.claimKey(r.GetKey()),
			Claimant:  d.claimInstance(r.GetClaimant()),
			Request:   r.GetRequest(),
			Outcome:   d.claimOutcome(r.GetOutcome()),
			Remaining: d.duration(r.GetLeftNanoseconds()),
		})
	}
	return records
}

func encodeClaimOutcome(o claim.Outcome) *gen.ClaimOutcome {
	return &gen.ClaimOutcome{
		State:  uint32(o.State),
		Status: uint32(o.Status),
	}
}

func (d *decoder) claimOutcome(m *gen.ClaimOutcome) claim.Outcome {
	return claim.Outcome{
		State:  claim.State(d.number(m.GetState(), uint32(claim.Unknown))),
		Status: int(d.number(m.GetStatus(), maxStatusCode)),
	}
}

func encodeClaimInstance(id instance.ID) *gen.ClaimInstance {
	if id == (instance.ID{}) {
		return nil
	}
	return &gen.ClaimInstance{
		Address:     string(id.Address),
		Incarnation: id.Incarnation,
	}
}

func (d *decoder) claimInstance(m *gen.ClaimInstance) instance.ID {
	return instance.ID{
		Address:     instance.Address(d.text(m.GetAddress(), maxAddressBytes)),
		Incarnation: m.GetIncarnation(),
	}
}

func (d *decoder) claimKey(b []byte) claim.Key {
	var k claim.Key
	if copy(k[:], b) != len(k) || len(b) != len(k) {
		d.fail("key of wrong length")
	}
	return k
}
