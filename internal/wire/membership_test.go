package wire_test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
)

func membershipMessages() []membership.Message {
	id := instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 9,
	}
	r := membership.Record{
		Info: instance.Info{
			ID:      id,
			Zone:    "a",
			Region:  "west",
			Leaving: true,
		},
		Version: 3,
		Status:  membership.Suspect,
	}
	h := membership.Header{
		Sender: r,
		Notice: membership.Notice{
			Number: 4,
			Check:  5,
		},
		TableDigest: 6,
		Records:     []membership.Record{r, r},
	}
	return []membership.Message{
		membership.Probe{
			Header: h,
			Number: 1,
		},
		membership.Ack{
			Header:  h,
			Number:  2,
			Subject: id,
		},
		membership.Nack{
			Header: h,
			Number: 3,
		},
		membership.ProbeRequest{
			Header: h,
			Number: 4,
			Target: id.Address,
		},
		membership.Gossip{
			Header: h,
		},
		membership.SyncDigests{
			Header:  h,
			Digests: [membership.BucketCount]uint64{1, 2, 3},
		},
		membership.SyncRecords{
			Header:           h,
			RequestedBuckets: 7,
		},
	}
}

func TestMembershipRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, want := range membershipMessages() {
		content, err := proto.Marshal(wire.EncodeMembership(want))
		is.NoErr(err)
		var decoded gen.MembershipMessage
		is.NoErr(proto.Unmarshal(content, &decoded))
		got, err := wire.DecodeMembership(&decoded)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestDecodeMembershipRefusesMalformed(t *testing.T) {
	long := strings.Repeat("a", membership.MaxNameBytes+1)
	tests := []struct {
		name    string
		corrupt func(m *gen.MembershipMessage)
	}{
		{
			name:    "no kind",
			corrupt: func(m *gen.MembershipMessage) { m.Body = nil },
		},
		{
			name:    "no header",
			corrupt: func(m *gen.MembershipMessage) { m.Header = nil },
		},
		{
			name:    "no sender",
			corrupt: func(m *gen.MembershipMessage) { m.Header.Sender = nil },
		},
		{
			name:    "address",
			corrupt: func(m *gen.MembershipMessage) { m.Header.Sender.Address = long },
		},
		{
			name:    "zone",
			corrupt: func(m *gen.MembershipMessage) { m.Header.Records[1].Zone = long },
		},
		{
			name:    "region",
			corrupt: func(m *gen.MembershipMessage) { m.Header.Records[1].Region = long },
		},
		{
			name:    "status",
			corrupt: func(m *gen.MembershipMessage) { m.Header.Records[1].Status = 3 },
		},
		{
			name: "records",
			corrupt: func(m *gen.MembershipMessage) {
				m.Header.Records = make([]*gen.MembershipRecord, membership.MaxRecords+1)
				for i := range m.Header.Records {
					m.Header.Records[i] = m.Header.Sender
				}
			},
		},
		{
			name: "digests",
			corrupt: func(m *gen.MembershipMessage) {
				m.Body = &gen.MembershipMessage_Compare{
					Compare: &gen.MembershipCompare{
						Digests: make([]uint64, membership.BucketCount+1),
					},
				}
			},
		},
		{
			name: "target",
			corrupt: func(m *gen.MembershipMessage) {
				m.Body = &gen.MembershipMessage_ProbeVia{}
			},
		},
		{
			name: "subject",
			corrupt: func(m *gen.MembershipMessage) {
				m.Body = &gen.MembershipMessage_Ack{}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := wire.EncodeMembership(membershipMessages()[0])
			tt.corrupt(m)
			_, err := wire.DecodeMembership(m)
			is.True(errors.Is(err, wire.ErrMalformed))
		})
	}
}

func FuzzDecodeMembership(f *testing.F) {
	for _, m := range membershipMessages() {
		content, err := proto.Marshal(wire.EncodeMembership(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var decoded gen.MembershipMessage
		if proto.Unmarshal(content, &decoded) != nil {
			return
		}
		m, err := wire.DecodeMembership(&decoded)
		if err != nil {
			return
		}
		again, err := wire.DecodeMembership(wire.EncodeMembership(m))
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(again, m)
	})
}
