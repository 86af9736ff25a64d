package wire_test

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

var testInstance = instance.ID{Address: "10.0.0.1:7000", Incarnation: 3}

var quotaMessages = []quota.Message{
	quota.Ask{
		Holder:      testInstance,
		Coordinator: "10.0.0.2:7000",
		Items:       []quota.Item{{Number: 1, Organisation: "press", Need: 2, Prefetch: 3, Wait: 4}},
		Reports:     []quota.Report{{Number: 5, Used: 6, Closed: true}},
	},
	quota.Answer{
		Holder:   testInstance,
		Grants:   []quota.Grant{{Number: 1, Units: 2, Term: 3, PromptReport: true}},
		Refusals: []quota.Refusal{{Number: 4, Reason: quota.TooCostly, RetryAfter: 5}},
		Queued:   []uint64{6},
	},
	quota.HandoverOffer{Shards: []share.Shard{1, 4095}},
	quota.HandoverRequest{Number: 1, Shards: []share.Shard{2}},
	quota.Handover{
		Number: 1,
		Shards: []quota.HandedShard{{Shard: 2, Shares: 3, HeldFor: 4}},
		Buckets: []quota.HandedBucket{{
			Organisation: "press",
			Level:        1.5,
			Grants:       []quota.HandedGrant{{Holder: testInstance, Number: 1, Used: 2, Units: 3, Term: 4}},
		}},
	},
	quota.HandoverAck{Number: 1},
}

var claimMessages = []claim.Message{
	claim.Claim{Number: 1, Request: 2, Key: claim.KeyOf("press", "a")},
	claim.Decision{Number: 1, Request: 2, Key: claim.KeyOf("press", "a"), Result: claim.AlreadyClaimed, Outcome: claim.Outcome{State: claim.Ended, Status: 201}},
	claim.Finish{Key: claim.KeyOf("press", "a"), Request: 1, Claimant: testInstance, Outcome: claim.Outcome{State: claim.Unknown}},
	claim.Release{Key: claim.KeyOf("press", "a"), Request: 1},
	claim.Copy{Number: 1, Records: []claim.Record{{Key: claim.KeyOf("press", "a"), Claimant: testInstance, Request: 2, Remaining: 3}}},
	claim.Copied{Number: 1, AlreadyHeld: []claim.Key{claim.KeyOf("press", "a")}},
	claim.Collect{Number: 1, Shards: []share.Shard{7}},
	claim.Collected{Number: 1, Losses: []claim.Loss{{ID: testInstance, Zone: "a", Remaining: 2}}, LossesKnownFor: 3},
	claim.Departed{},
}

func TestQuotaAndClaimRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range quotaMessages {
		got, err := wire.DecodeQuota(wire.EncodeQuota(m))
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m))
	}
	for _, m := range claimMessages {
		got, err := wire.DecodeClaim(wire.EncodeClaim(m))
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m))
	}
}

func TestMalformedQuotaAndClaimMessages(t *testing.T) {
	is := is.New(t)
	quotas := []*gen.QuotaMessage{
		nil,
		{},
		{Kind: &gen.QuotaMessage_Leaving{Leaving: &gen.QuotaLeaving{Shards: []uint32{4096}}}},
		{Kind: &gen.QuotaMessage_Leaving{Leaving: &gen.QuotaLeaving{Shards: make([]uint32, 4097)}}},
		{Kind: &gen.QuotaMessage_Answer{Answer: &gen.QuotaAnswer{Queued: make([]uint64, 1<<14+1)}}},
		{Kind: &gen.QuotaMessage_Answer{Answer: &gen.QuotaAnswer{Grants: []*gen.QuotaGrant{{TermNanoseconds: 1 << 63}}}}},
		{Kind: &gen.QuotaMessage_Handover{Handover: &gen.QuotaHandover{Buckets: []*gen.QuotaHandedBucket{{Level: -1}}}}},
	}
	for _, m := range quotas {
		_, err := wire.DecodeQuota(m)
		is.True(err != nil)
	}
	claims := []*gen.ClaimMessage{
		nil,
		{},
		{Kind: &gen.ClaimMessage_Claim{Claim: &gen.ClaimClaim{Key: make([]byte, 31)}}},
		{Kind: &gen.ClaimMessage_Claim{Claim: &gen.ClaimClaim{Key: make([]byte, 33)}}},
		{Kind: &gen.ClaimMessage_Verdict{Verdict: &gen.ClaimVerdict{Key: make([]byte, 32), Result: 9}}},
	}
	for _, m := range claims {
		_, err := wire.DecodeClaim(m)
		is.True(err != nil)
	}
}

func FuzzDecodeQuota(f *testing.F) {
	for _, m := range quotaMessages {
		b, _ := proto.Marshal(wire.EncodeQuota(m))
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var g gen.QuotaMessage
		if proto.Unmarshal(b, &g) != nil {
			return
		}
		m, err := wire.DecodeQuota(&g)
		if err != nil {
			return
		}
		again, err := wire.DecodeQuota(wire.EncodeQuota(m))
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%v became %v: %v", m, again, err)
		}
	})
}

func FuzzDecodeClaim(f *testing.F) {
	for _, m := range claimMessages {
		b, _ := proto.Marshal(wire.EncodeClaim(m))
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var g gen.ClaimMessage
		if proto.Unmarshal(b, &g) != nil {
			return
		}
		m, err := wire.DecodeClaim(&g)
		if err != nil {
			return
		}
		again, err := wire.DecodeClaim(wire.EncodeClaim(m))
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%v became %v: %v", m, again, err)
		}
	})
}
