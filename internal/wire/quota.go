package wire

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// Upper bounds of what messages about quotas may contain.
const (
	maxQuotaItems        = 1 << 14
	maxOrganisationBytes = 256
	maxAddressBytes      = 64
	maxUnits             = 1 << 30 // of a grant, of a bucket, or asked for
)

// ErrMalformedQuota means that a message about quotas is malformed.
var ErrMalformedQuota = errors.New("malformed quota message")

// EncodeQuota converts a message to its wire form. It returns nil for a message
// of an unknown type.
func EncodeQuota(m quota.Message) *gen.QuotaMessage {
	switch m := m.(type) {
	case quota.Ask:
		return &gen.QuotaMessage{
			Kind: &gen.QuotaMessage_Ask{
				Ask: encodeQuotaAsk(m),
			},
		}
	case quota.Answer:
		return &gen.QuotaMessage{
			Kind: &gen.QuotaMessage_Answer{
				Answer: encodeQuotaAnswer(m),
			},
		}
	case quota.HandoverOffer:
		return &gen.QuotaMessage{
			Kind: &gen.QuotaMessage_Leaving{
				Leaving: &gen.QuotaLeaving{
					Shards: encodeShards(m.Shards),
				},
			},
		}
	case quota.HandoverRequest:
		return &gen.QuotaMessage{
			Kind: &gen.QuotaMessage_Inherit{
				Inherit: &gen.QuotaInherit{
					Number: m.Number,
					Shards: encodeShards(m.Shards),
				},
			},
		}
	case quota.Handover:
		return &gen.QuotaMessage{
			Kind: &gen.QuotaMessage_Handover{
				Handover: encodeQuotaHandover(m),
			},
		}
	case quota.HandoverAck:
		return &gen.QuotaMessage{
			Kind: &gen.QuotaMessage_Inherited{
				Inherited: &gen.QuotaInherited{
					Number: m.Number,
				},
			},
		}
	}
	return nil
}

// DecodeQuota converts a message from its wire form. Its errors wrap
// ErrMalformedQuota.
func DecodeQuota(m *gen.QuotaMessage) (quota.Message, error) {
	d := decoder{
		malformed: ErrMalformedQuota,
	}
	var message quota.Message
	switch k := m.GetKind().(type) {
	case *gen.QuotaMessage_Ask:
		message = d.quotaAsk(k.Ask)
	case *gen.QuotaMessage_Answer:
		message = d.quotaAnswer(k.Answer)
	case *gen.QuotaMessage_Leaving:
		message = quota.HandoverOffer{
			Shards: d.shards(k.Leaving.GetShards()),
		}
	case *gen.QuotaMessage_Inherit:
		message = quota.HandoverRequest{
			Number: k.Inherit.GetNumber(),
			Shards: d.shards(k.Inherit.GetShards()),
		}
	case *gen.QuotaMessage_Handover:
		message = d.quotaHandover(k.Handover)
	case *gen.QuotaMessage_Inherited:
		message = quota.HandoverAck{
			Number: k.Inherited.GetNumber(),
		}
	default:
		d.fail("unknown kind")
	}
	if d.err != nil {
		return nil, d.err
	}
	return message, nil
}

func encodeQuotaAsk(m quota.Ask) *gen.QuotaAsk {
	a := &gen.QuotaAsk{
		Origin: encodeQuotaInstance(m.Holder),
		First:  string(m.Coordinator),
	}
	for _, i := range m.Items {
		a.Items = append(a.Items, &gen.QuotaItem{
			Number:          i.Number,
			Organisation:    i.Organisation,
			Need:            uint32(i.Need),
			Advance:         uint32(i.Prefetch),
			WaitNanoseconds: uint64(i.Wait),
		})
	}
	for _, r := range m.Reports {
		a.Reports = append(a.Reports, &gen.QuotaReport{
			Number: r.Number,
			Used:   uint32(r.Used),
			Closed: r.Closed,
		})
	}
	return a
}

func encodeQuotaAnswer(m quota.Answer) *gen.QuotaAnswer {
	a := &gen.QuotaAnswer{
		Origin: encodeQuotaInstance(m.Holder),
		Queued: m.Queued,
	}
	for _, g := range m.Grants {
		a.Grants = append(a.Grants, &gen.QuotaGrant{
			Number:          g.Number,
			Units:           uint32(g.Units),
			TermNanoseconds: uint64(g.Term),
			Prompt:          g.PromptReport,
		})
	}
	for _, r := range m.Refusals {
		a.Refusals = append(a.Refusals, &gen.QuotaRefusal{
			Number:                r.Number,
			Reason:                uint32(r.Reason),
			RetryAfterNanoseconds: uint64(r.RetryAfter),
		})
	}
	return a
}

func encodeQuotaHandover(m quota.Handover) *gen.QuotaHandover {
	h := &gen.QuotaHandover{
		Number: m.Number,
	}
	for _, s := range m.Shards {
		h.Shards = append(h.Shards, &gen.QuotaHandedShard{
			Shard:           uint32(s.Shard),
			Shares:          uint32(s.Shares),
			IdleNanoseconds: uint64(s.HeldFor),
		})
	}
	for _, b := range m.Buckets {
		bucket := &gen.QuotaHandedBucket{
			Organisation: b.Organisation,
			Level:        b.Level,
		}
		for _, g := range b.Grants {
			bucket.Grants = append(bucket.Grants, &gen.QuotaHandedGrant{
				Holder:          encodeQuotaInstance(g.Holder),
				Number:          g.Number,
				Used:            uint32(g.Used),
				Units:           uint32(g.Units),
				TermNanoseconds: uint64(g.Term),
			})
		}
		h.Buckets = append(h.Buckets, bucket)
	}
	return h
}

func encodeQuotaInstance(id instance.ID) *gen.QuotaInstance {
	if id == (instance.ID{}) {
		return nil
	}
	return &gen.QuotaInstance{
		Address:     string(id.Address),
		Incarnation: id.Incarnation,
	}
}

func (d *decoder) quotaAsk(m *gen.QuotaAsk) quota.Ask {
	a := quota.Ask{
		Holder:      d.quotaInstance(m.GetOrigin()),
		Coordinator: instance.Address(d.text(m.GetFirst(), maxAddressBytes)),
	}
	for _, i := range bounded(d, m.GetItems(), maxQuotaItems) {
		a.Items = append(a.Items, quota.Item{
			Number:       i.GetNumber(),
			Organisation: d.text(i.GetOrganisation(), maxOrganisationBytes),
			Need:         d.units(i.GetNeed()),
			Prefetch:     d.units(i.GetAdvance()),
			Wait:         d.duration(i.GetWaitNanoseconds()),
		})
	}
	for _, r := range bounded(d, m.GetReports(), maxQuotaItems) {
		a.Reports = append(a.Reports, quota.Report{
			Number: r.GetNumber(),
			Used:   d.units(r.GetUsed()),
			Closed: r.GetClosed(),
		})
	}
	return a
}

func (d *decoder) quotaAnswer(m *gen.QuotaAnswer) quota.Answer {
	a := quota.Answer{
		Holder: d.quotaInstance(m.GetOrigin()),
		Queued: bounded(d, m.GetQueued(), maxQuotaItems),
	}
	for _, g := range bounded(d, m.GetGrants(), maxQuotaItems) {
		a.Grants = append(a.Grants, quota.Grant{
			Number:       g.GetNumber(),
			Units:        d.units(g.GetUnits()),
			Term:         d.duration(g.GetTermNanoseconds()),
			PromptReport: g.GetPrompt(),
		})
	}
	for _, r := range bounded(d, m.GetRefusals(), maxQuotaItems) {
		a.Refusals = append(a.Refusals, quota.Refusal{
			Number:     r.GetNumber(),
			Reason:     quota.Reason(d.number(r.GetReason(), uint32(quota.Overloaded))),
			RetryAfter: d.duration(r.GetRetryAfterNanoseconds()),
		})
	}
	return a
}

func (d *decoder) quotaHandover(m *gen.QuotaHandover) quota.Handover {
	h := quota.Handover{
		Number: m.GetNumber(),
	}
	for _, s := range bounded(d, m.GetShards(), share.Shards) {
		h.Shards = append(h.Shards, quota.HandedShard{
			Shard:   share.Shard(d.number(s.GetShard(), share.Shards-1)),
			Shares:  int(d.number(s.GetShares(), share.MaxTotal)),
			HeldFor: d.duration(s.GetIdleNanoseconds()),
		})
	}
	for _, b := range bounded(d, m.GetBuckets(), maxQuotaItems) {
		bucket := quota.HandedBucket{
			Organisation: d.text(b.GetOrganisation(), maxOrganisationBytes),
			Level:        d.level(b.GetLevel()),
		}
		for _, g := range bounded(d, b.GetGrants(), maxQuotaItems) {
			bucket.Grants = append(bucket.Grants, quota.HandedGrant{
				Holder: d.quotaInstance(g.GetHolder()),
				Number: g.GetNumber(),
				Used:   d.units(g.GetUsed()),
				Units:  d.units(g.GetUnits()),
				Term:   d.duration(g.GetTermNanoseconds()),
			})
		}
		h.Buckets = append(h.Buckets, bucket)
	}
	return h
}

func (d *decoder) quotaInstance(m *gen.QuotaInstance) instance.ID {
	return instance.ID{
		Address:     instance.Address(d.text(m.GetAddress(), maxAddressBytes)),
		Incarnation: m.GetIncarnation(),
	}
}

func (d *decoder) units(n uint32) int {
	return int(d.number(n, maxUnits))
}

func (d *decoder) level(level float64) float64 {
	if !(level >= 0 && level <= maxUnits) {
		d.fail("level out of range")
	}
	return level
}

// decoder checks the fields of a message and keeps the first error. Its methods
// return the checked value, or a zero value once the check failed.
type decoder struct {
	malformed error // what err wraps
	err       error
}

// fail records the error unless there is an earlier one.
func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = errors.Wrap(d.malformed, what)
	}
}

func (d *decoder) number(n, limit uint32) uint32 {
	if n > limit {
		d.fail("number out of range")
		return 0
	}
	return n
}

func (d *decoder) text(s string, limit int) string {
	if len(s) > limit {
		d.fail("text too long")
		return ""
	}
	return s
}

func (d *decoder) duration(nanoseconds uint64) time.Duration {
	if nanoseconds > math.MaxInt64/4 {
		d.fail("duration out of range")
		return 0
	}
	return time.Duration(nanoseconds)
}

func (d *decoder) shards(list []uint32) []share.Shard {
	var shards []share.Shard
	for _, s := range bounded(d, list, share.Shards) {
		shards = append(shards, share.Shard(d.number(s, share.Shards-1)))
	}
	return shards
}

func encodeShards(list []share.Shard) []uint32 {
	var shards []uint32
	for _, s := range list {
		shards = append(shards, uint32(s))
	}
	return shards
}

// bounded returns the list if it has at most limit elements. Otherwise it records
// an error and returns nil.
func bounded[T any](d *decoder, list []T, limit int) []T {
	if len(list) > limit {
		d.fail("list too long")
		return nil
	}
	return list
}
