package wire

import (
	"github.com/go-faster/errors"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
)

// EncodeMembership converts a message of package membership to its wire form.
func EncodeMembership(m membership.Message) *gen.MembershipMessage {
	out := &gen.MembershipMessage{}
	switch m := m.(type) {
	case membership.Probe:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_Probe{
			Probe: &gen.MembershipProbe{
				Number: m.Number,
			},
		}
	case membership.Ack:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_Ack{
			Ack: &gen.MembershipAck{
				Number:             m.Number,
				SubjectAddress:     string(m.Subject.Address),
				SubjectIncarnation: m.Subject.Incarnation,
			},
		}
	case membership.Nack:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_Nack{
			Nack: &gen.MembershipNack{
				Number: m.Number,
			},
		}
	case membership.ProbeRequest:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_ProbeVia{
			ProbeVia: &gen.MembershipProbeVia{
				Number: m.Number,
				Target: string(m.Target),
			},
		}
	case membership.Gossip:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_News{
			News: &gen.MembershipNews{},
		}
	case membership.SyncDigests:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_Compare{
			Compare: &gen.MembershipCompare{
				Digests: m.Digests[:],
			},
		}
	case membership.SyncRecords:
		out.Header = encodeHeader(m.Header)
		out.Body = &gen.MembershipMessage_Compared{
			Compared: &gen.MembershipCompared{
				Differ: m.RequestedBuckets,
			},
		}
	}
	return out
}

// DecodeMembership converts a message from its wire form. Its errors wrap
// ErrMalformed.
func DecodeMembership(m *gen.MembershipMessage) (membership.Message, error) {
	h, err := decodeHeader(m.GetHeader())
	if err != nil {
		return nil, err
	}
	switch b := m.GetBody().(type) {
	case *gen.MembershipMessage_Probe:
		return membership.Probe{
			Header: h,
			Number: b.Probe.GetNumber(),
		}, nil
	case *gen.MembershipMessage_Ack:
		return decodeAck(h, b.Ack)
	case *gen.MembershipMessage_Nack:
		return membership.Nack{
			Header: h,
			Number: b.Nack.GetNumber(),
		}, nil
	case *gen.MembershipMessage_ProbeVia:
		return decodeProbeRequest(h, b.ProbeVia)
	case *gen.MembershipMessage_News:
		return membership.Gossip{
			Header: h,
		}, nil
	case *gen.MembershipMessage_Compare:
		return decodeSyncDigests(h, b.Compare)
	case *gen.MembershipMessage_Compared:
		return membership.SyncRecords{
			Header:           h,
			RequestedBuckets: b.Compared.GetDiffer(),
		}, nil
	}
	return nil, errors.Wrap(ErrMalformed, "membership message without a known body")
}

func encodeHeader(h membership.Header) *gen.MembershipHeader {
	out := &gen.MembershipHeader{
		Sender: encodeRecord(h.Sender),
		Notice: &gen.MembershipNotice{
			Number: h.Notice.Number,
			Check:  h.Notice.Check,
		},
		Summary: h.TableDigest,
		Records: make([]*gen.MembershipRecord, len(h.Records)),
	}
	for i, r := range h.Records {
		out.Records[i] = encodeRecord(r)
	}
	return out
}

func decodeHeader(h *gen.MembershipHeader) (membership.Header, error) {
	sender, err := decodeRecord(h.GetSender())
	if err != nil {
		return membership.Header{}, err
	}
	if len(h.GetRecords()) > membership.MaxRecords {
		return membership.Header{}, errors.Wrapf(ErrMalformed, "%d membership records", len(h.GetRecords()))
	}
	out := membership.Header{
		Sender: sender,
		Notice: membership.Notice{
			Number: h.GetNotice().GetNumber(),
			Check:  h.GetNotice().GetCheck(),
		},
		TableDigest: h.GetSummary(),
	}
	for _, r := range h.GetRecords() {
		record, err := decodeRecord(r)
		if err != nil {
			return membership.Header{}, err
		}
		out.Records = append(out.Records, record)
	}
	return out, nil
}

func encodeRecord(r membership.Record) *gen.MembershipRecord {
	return &gen.MembershipRecord{
		Address:     string(r.Address),
		Incarnation: r.Incarnation,
		Zone:        r.Zone,
		Region:      r.Region,
		Leaving:     r.Leaving,
		Version:     r.Version,
		Status:      gen.MembershipStatus(r.Status),
	}
}

func decodeRecord(r *gen.MembershipRecord) (membership.Record, error) {
	address, err := decodeAddress(r.GetAddress())
	if err != nil {
		return membership.Record{}, err
	}
	if len(r.GetZone()) > membership.MaxNameBytes || len(r.GetRegion()) > membership.MaxNameBytes {
		return membership.Record{}, errors.Wrap(ErrMalformed, "zone or region too long")
	}
	status, err := decodeStatus(r.GetStatus())
	if err != nil {
		return membership.Record{}, err
	}
	return membership.Record{
		Info: instance.Info{
			ID: instance.ID{
				Address:     address,
				Incarnation: r.GetIncarnation(),
			},
			Zone:    r.GetZone(),
			Region:  r.GetRegion(),
			Leaving: r.GetLeaving(),
		},
		Version: r.GetVersion(),
		Status:  status,
	}, nil
}

func decodeStatus(s gen.MembershipStatus) (membership.Status, error) {
	switch s {
	case gen.MembershipStatus_MEMBERSHIP_STATUS_ALIVE:
		return membership.Alive, nil
	case gen.MembershipStatus_MEMBERSHIP_STATUS_SUSPECT:
		return membership.Suspect, nil
	case gen.MembershipStatus_MEMBERSHIP_STATUS_LEFT:
		return membership.Left, nil
	}
	return 0, errors.Wrapf(ErrMalformed, "membership status %d", s)
}

func decodeAddress(address string) (instance.Address, error) {
	if address == "" || len(address) > membership.MaxNameBytes {
		return "", errors.Wrapf(ErrMalformed, "address of %d bytes", len(address))
	}
	return instance.Address(address), nil
}

func decodeAck(h membership.Header, a *gen.MembershipAck) (membership.Message, error) {
	address, err := decodeAddress(a.GetSubjectAddress())
	if err != nil {
		return nil, err
	}
	return membership.Ack{
		Header: h,
		Number: a.GetNumber(),
		Subject: instance.ID{
			Address:     address,
			Incarnation: a.GetSubjectIncarnation(),
		},
	}, nil
}

func decodeProbeRequest(h membership.Header, p *gen.MembershipProbeVia) (membership.Message, error) {
	target, err := decodeAddress(p.GetTarget())
	if err != nil {
		return nil, err
	}
	return membership.ProbeRequest{
		Header: h,
		Number: p.GetNumber(),
		Target: target,
	}, nil
}

func decodeSyncDigests(h membership.Header, c *gen.MembershipCompare) (membership.Message, error) {
	if len(c.GetDigests()) != membership.BucketCount {
		return nil, errors.Wrapf(ErrMalformed, "%d digests", len(c.GetDigests()))
	}
	out := membership.SyncDigests{
		Header: h,
	}
	copy(out.Digests[:], c.GetDigests())
	return out, nil
}
