package wire_test

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/target"
)

// TestFramesHaveFixedBytes guards against changes of the encoded bytes of a
// message: instances of two versions could no longer decode each other's
// messages.
func TestFramesHaveFixedBytes(t *testing.T) {
	for _, tt := range fixedFrames() {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			frame, err := wire.Encode(tt.message)
			is.NoErr(err)
			envelope := &gen.Envelope{}
			is.NoErr(proto.Unmarshal(frame, envelope))
			content, err := proto.MarshalOptions{Deterministic: true}.Marshal(envelope)
			is.NoErr(err)
			is.Equal(hex.EncodeToString(content), tt.want)
			content, err = hex.DecodeString(tt.want)
			is.NoErr(err)
			got, err := wire.Decode(content)
			is.NoErr(err)
			is.Equal(got, tt.message)
		})
	}
}

type fixedFrame struct {
	name    string
	message fleet.Message
	want    string
}

func fixedFrames() []fixedFrame {
	var frames []fixedFrame
	frames = append(frames, fixedMembership()...)
	frames = append(frames, fixedRevision()...)
	frames = append(frames, fixedShare()...)
	frames = append(frames, fixedQuota()...)
	frames = append(frames, fixedClaim()...)
	return append(frames, fixedPolicy()...)
}

var fixedID = instance.ID{
	Address:     "10.0.0.1:7000",
	Incarnation: 3,
}

func fixedMembership() []fixedFrame {
	header := membership.Header{
		Sender: membership.Record{
			Info: instance.Info{
				ID:      fixedID,
				Zone:    "a",
				Region:  "west",
				Leaving: true,
			},
			Version: 4,
			Status:  membership.Left,
		},
		Notice: membership.Notice{
			Number: 5,
			Check:  6,
		},
		TableDigest: 7,
		Records: []membership.Record{{
			Info: instance.Info{
				ID: instance.ID{
					Address:     "10.0.0.2:7000",
					Incarnation: 8,
				},
				Zone:   "b",
				Region: "east",
			},
			Version: 9,
			Status:  membership.Suspect,
		}},
	}
	compare := membership.SyncDigests{
		Header: header,
	}
	for i := range compare.Digests {
		compare.Digests[i] = uint64(i + 1)
	}
	return []fixedFrame{
		{
			name: "membership probe",
			message: fleet.MembershipMessage{
				Message: membership.Probe{
					Header: header,
					Number: 10,
				},
			},
			want: "0a6c0a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a0162220465617374300938011202080a",
		},
		{
			name: "membership ack",
			message: fleet.MembershipMessage{
				Message: membership.Ack{
					Header: header,
					Number: 10,
					Subject: instance.ID{
						Address:     "10.0.0.3:7000",
						Incarnation: 11,
					},
				},
			},
			want: "0a84010a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a0162220465617374300938011a1a080a120d31302e302e302e333a37303030190b00000000000000",
		},
		{
			name: "membership nack",
			message: fleet.MembershipMessage{
				Message: membership.Nack{
					Header: header,
					Number: 10,
				},
			},
			want: "0a6c0a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a0162220465617374300938012202080a",
		},
		{
			name: "membership probe via",
			message: fleet.MembershipMessage{
				Message: membership.ProbeRequest{
					Header: header,
					Number: 10,
					Target: "10.0.0.3:7000",
				},
			},
			want: "0a7b0a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a0162220465617374300938012a11080a120d31302e302e302e333a37303030",
		},
		{
			name: "membership news",
			message: fleet.MembershipMessage{
				Message: membership.Gossip{
					Header: header,
				},
			},
			want: "0a6a0a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a0162220465617374300938013200",
		},
		{
			name: "membership compare",
			message: fleet.MembershipMessage{
				Message: compare,
			},
			want: "0aee020a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a0162220465617374300938013a83020a80020100000000000000020000000000000003000000000000000400000000000000050000000000000006000000000000000700000000000000080000000000000009000000000000000a000000000000000b000000000000000c000000000000000d000000000000000e000000000000000f0000000000000010000000000000001100000000000000120000000000000013000000000000001400000000000000150000000000000016000000000000001700000000000000180000000000000019000000000000001a000000000000001b000000000000001c000000000000001d000000000000001e000000000000001f000000000000002000000000000000",
		},
		{
			name: "membership compared",
			message: fleet.MembershipMessage{
				Message: membership.SyncRecords{
					Header:           header,
					RequestedBuckets: 12,
				},
			},
			want: "0a6f0a660a270a0d31302e302e302e313a373030301103000000000000001a0161220477657374280130043802120b080511060000000000000019070000000000000022250a0d31302e302e302e323a373030301108000000000000001a01622204656173743009380142050d0c000000",
		},
	}
}

func fixedRevision() []fixedFrame {
	notice := revision.Notice{
		Number: 1,
		Check:  2,
	}
	digest := revision.DigestOf([]byte("a"))
	return []fixedFrame{
		{
			name: "revision announce",
			message: fleet.RevisionMessage{
				Message: revision.Announce{
					Notice: notice,
				},
			},
			want: "120f0a0d0a0b0801110200000000000000",
		},
		{
			name: "revision ask head",
			message: fleet.RevisionMessage{
				Message: revision.HeadRequest{
					Notice: notice,
				},
			},
			want: "120f120d0a0b0801110200000000000000",
		},
		{
			name: "revision head answer",
			message: fleet.RevisionMessage{
				Message: revision.HeadReply{
					Notice:  notice,
					Content: []byte("head"),
				},
			},
			want: "12151a130a0b0801110200000000000000120468656164",
		},
		{
			name: "revision ask part",
			message: fleet.RevisionMessage{
				Message: revision.PartRequest{
					Digest: digest,
					Offset: 3,
				},
			},
			want: "122622240a20ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb1003",
		},
		{
			name: "revision part answer",
			message: fleet.RevisionMessage{
				Message: revision.PartReply{
					Digest:  digest,
					Offset:  3,
					Size:    7,
					Content: []byte("part"),
				},
			},
			want: "122e2a2c0a20ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb10031807220470617274",
		},
		{
			name: "revision read instead",
			message: fleet.RevisionMessage{
				Message: revision.DelegateRead{},
			},
			want: "12023200",
		},
	}
}

func fixedShare() []fixedFrame {
	rights := []share.Right{{
		Share:    5,
		Sequence: 6,
		Voting:   true,
	}}
	return []fixedFrame{
		{
			name: "share ask",
			message: fleet.ShareMessage{
				Message: share.LeaseRequest{
					Number:          1,
					Lender:          2,
					Version:         3,
					InContact:       true,
					AcceptsHandover: true,
					Leaving:         true,
					Rights:          rights,
				},
			},
			want: "1a160a140801100218032001280130013a06080510061801",
		},
		{
			name: "share ask, accepts alone",
			message: fleet.ShareMessage{
				Message: share.LeaseRequest{
					Number:          1,
					AcceptsHandover: true,
				},
			},
			want: "1a060a0408012801",
		},
		{
			name: "share answer",
			message: fleet.ShareMessage{
				Message: share.LeaseResponse{
					Requester:   1,
					Number:      2,
					Version:     3,
					Term:        4 * time.Second,
					ConfirmTerm: 5 * time.Second,
					Refused:     []share.Number{7, 8},
					Full:        true,
					Rights:      rights,
					Shards:      share.SetOf(9, 300),
				},
			},
			want: "1a251223080110021803208092f40128c096b10232020708380142060805100618014a0309a202",
		},
		{
			name: "share offer",
			message: fleet.ShareMessage{
				Message: share.Offer{},
			},
			want: "1a021a00",
		},
		{
			name: "share return",
			message: fleet.ShareMessage{
				Message: share.Return{
					Number: 1,
					Lender: 2,
				},
			},
			want: "1a06220408011002",
		},
		{
			name: "share promise ask",
			message: fleet.ShareMessage{
				Message: share.FenceRequest{
					Number: 1,
					Rights: rights,
				},
			},
			want: "1a0c2a0a08011206080510061801",
		},
		{
			name: "share promise answer",
			message: fleet.ShareMessage{
				Message: share.FenceResponse{
					Requester: 1,
					Number:    2,
					Fenced:    []share.Number{3},
					Votes:     []share.Number{4},
				},
			},
			want: "1a0c320a080110021a0103220104",
		},
		{
			name: "share handover",
			message: fleet.ShareMessage{
				Message: share.Handover{
					Receiver:      1,
					RequestNumber: 2,
					Right:         rights[0],
					Hop:           3,
					RecordVersion: 4,
					InUseFor:      7 * time.Second,
					Fences: []share.Right{{
						Share:    8,
						Sequence: 9,
					}},
				},
			},
			want: "1a1d3a1b080110021a060805100618012003280430c09fab033a0408081009",
		},
	}
}

func fixedQuota() []fixedFrame {
	return []fixedFrame{
		{
			name: "quota ask",
			message: fleet.QuotaMessage{
				Message: quota.Ask{
					Holder:      fixedID,
					Coordinator: "10.0.0.2:7000",
					Items: []quota.Item{{
						Number:       1,
						Organisation: "press",
						Need:         2,
						Prefetch:     3,
						Wait:         4,
					}},
					Reports: []quota.Report{{
						Number: 5,
						Used:   6,
						Closed: true,
					}},
				},
			},
			want: "223d0a3b0a110a0d31302e302e302e313a373030301003120d31302e302e302e323a373030301a0f0801120570726573731802200328042206080510061801",
		},
		{
			name: "quota answer",
			message: fleet.QuotaMessage{
				Message: quota.Answer{
					Holder: fixedID,
					Grants: []quota.Grant{{
						Number:       1,
						Units:        2,
						Term:         3,
						PromptReport: true,
					}},
					Refusals: []quota.Refusal{{
						Number:     4,
						Reason:     quota.TooCostly,
						RetryAfter: 5,
					}},
					Queued: []uint64{6},
				},
			},
			want: "222a12280a110a0d31302e302e302e313a373030301003120808011002180320011a06080410031805220106",
		},
		{
			name: "quota leaving",
			message: fleet.QuotaMessage{
				Message: quota.HandoverOffer{
					Shards: []share.Shard{1, 4095},
				},
			},
			want: "22071a050a0301ff1f",
		},
		{
			name: "quota inherit",
			message: fleet.QuotaMessage{
				Message: quota.HandoverRequest{
					Number: 1,
					Shards: []share.Shard{2},
				},
			},
			want: "220722050801120102",
		},
		{
			name: "quota handover",
			message: fleet.QuotaMessage{
				Message: quota.Handover{
					Number: 1,
					Shards: []quota.HandedShard{{
						Shard:   2,
						Shares:  3,
						HeldFor: 4,
					}},
					Buckets: []quota.HandedBucket{{
						Organisation: "press",
						Level:        1.5,
						Grants: []quota.HandedGrant{{
							Holder: fixedID,
							Number: 1,
							Used:   2,
							Units:  3,
							Term:   4,
						}},
					}},
				},
			},
			want: "223b2a39080112060802100318041a2d0a05707265737311000000000000f83f1a1b0a110a0d31302e302e302e313a3730303010031001180220032804",
		},
		{
			name: "quota inherited",
			message: fleet.QuotaMessage{
				Message: quota.HandoverAck{
					Number: 1,
				},
			},
			want: "220432020801",
		},
	}
}

func fixedClaim() []fixedFrame {
	key := claim.KeyOf("press", "a")
	records := []claim.Record{{
		Key:      key,
		Claimant: fixedID,
		Request:  2,
		Outcome: claim.Outcome{
			State:  claim.Ended,
			Status: 201,
		},
		Remaining: 4,
	}}
	return []fixedFrame{
		{
			name: "claim claim",
			message: fleet.ClaimMessage{
				Message: claim.Claim{
					Number:  1,
					Request: 2,
					Key:     key,
				},
			},
			want: "2a280a26080110021a207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa99",
		},
		{
			name: "claim verdict",
			message: fleet.ClaimMessage{
				Message: claim.Decision{
					Number:  1,
					Request: 2,
					Key:     key,
					Result:  claim.TooFewReplicas,
					Outcome: claim.Outcome{
						State:  claim.Unknown,
						Status: 503,
					},
				},
			},
			want: "2a31122f080110021a207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa9920042a05080210f703",
		},
		{
			name: "claim finish",
			message: fleet.ClaimMessage{
				Message: claim.Finish{
					Key:      key,
					Request:  1,
					Claimant: fixedID,
					Outcome: claim.Outcome{
						State:  claim.Ended,
						Status: 201,
					},
				},
			},
			want: "2a401a3e0a207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa9910011a110a0d31302e302e302e313a3730303010032205080110c901",
		},
		{
			name: "claim release",
			message: fleet.ClaimMessage{
				Message: claim.Release{
					Key:      key,
					Request:  1,
					Claimant: fixedID,
				},
			},
			want: "2a3922370a207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa9910011a110a0d31302e302e302e313a373030301003",
		},
		{
			name: "claim copy",
			message: fleet.ClaimMessage{
				Message: claim.Copy{
					Number:  1,
					Records: records,
				},
			},
			want: "2a462a44080112400a207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa9912110a0d31302e302e302e313a37303030100318022205080110c9012804",
		},
		{
			name: "claim copied",
			message: fleet.ClaimMessage{
				Message: claim.Copied{
					Number:      1,
					AlreadyHeld: []claim.Key{key},
				},
			},
			want: "2a263224080112207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa99",
		},
		{
			name: "claim collect",
			message: fleet.ClaimMessage{
				Message: claim.Collect{
					Number: 1,
					Shards: []share.Shard{7},
				},
			},
			want: "2a073a050801120107",
		},
		{
			name: "claim collected",
			message: fleet.ClaimMessage{
				Message: claim.Collected{
					Number:  1,
					Records: records,
					Losses: []claim.Loss{{
						ID:        fixedID,
						Zone:      "a",
						Remaining: 5,
					}},
					LossesKnownFor: 6,
				},
			},
			want: "2a624260080112400a207e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa9912110a0d31302e302e302e313a37303030100318022205080110c90128041a180a110a0d31302e302e302e313a37303030100312016118052006",
		},
		{
			name: "claim departed",
			message: fleet.ClaimMessage{
				Message: claim.Departed{},
			},
			want: "2a024a00",
		},
	}
}

func fixedPolicy() []fixedFrame {
	var latency target.Histogram
	latency.AddCount(3, 2)
	latency.AddCount(40, 1)
	strike := quarantine.Strike{
		Fingerprint: quarantine.Fingerprint{1},
		Outline:     quarantine.Outline{2},
		Origin:      fixedID,
		Number:      4,
		Target:      "10.1.0.1:80",
		Remaining:   5,
		Cleared:     true,
	}
	strikes := []quarantine.Strike{strike}
	return []fixedFrame{
		{
			name: "policy report",
			message: fleet.TargetReport{
				Report: target.Report{
					Service: "desk",
					Number:  7,
					Targets: []target.TargetReport{{
						Target: "desk-a",
						Cells: []target.Cell{{
							Stratum: target.Stratum{
								Organisation: 8,
								Route:        9,
							},
							Attempts: 3,
							Failures: 2,
							Crashes:  1,
						}},
						Latency: latency,
						Refused: 5,
					}},
				},
			},
			want: "322e0a2c0a046465736b10071a220a066465736b2d6112100d0800000015090000001803200228011a04030228012005",
		},
		{
			name: "policy report, stratum of names",
			message: fleet.TargetReport{
				Report: target.Report{
					Service: "desk",
					Targets: []target.TargetReport{{
						Target: "desk-a",
						Cells: []target.Cell{{
							Stratum:  target.StratumOf("press", "orders"),
							Attempts: 3,
						}},
					}},
				},
			},
			want: "32200a1e0a046465736b1a160a066465736b2d61120c0dbf3cb1fd1575a74cb41803",
		},
		{
			name: "policy verdicts",
			message: fleet.TargetVerdicts{
				Verdicts: target.Verdicts{
					Service:   "desk",
					Epoch:     2,
					Number:    9,
					Authority: fixedID,
					Term:      15 * time.Second,
					List: []target.Verdict{
						{
							Target:         "desk-a",
							Action:         target.Eject,
							Reason:         target.Failing,
							Severity:       1.5,
							SampleFraction: 0.5,
						},
						{
							Target:         "desk-b",
							Action:         target.Watch,
							Reason:         target.Suspicious,
							Severity:       0.5,
							SampleFraction: 0.25,
						},
					},
				},
			},
			want: "327412720a046465736b10021809220d31302e302e302e313a3730303028033080acc7f0373a250a066465736b2d6110011a076661696c696e6721000000000000f83f29000000000000e03f3a280a066465736b2d6210021a0a737573706963696f757321000000000000e03f29000000000000d03f",
		},
		{
			name: "policy strike",
			message: fleet.QuarantineMessage{
				Message: strike,
			},
			want: "324a1a480a10010000000000000000000000000000001210020000000000000000000000000000001a0d31302e302e302e313a3730303020032804320b31302e312e302e313a383038054001",
		},
		{
			name: "policy noted",
			message: fleet.QuarantineMessage{
				Message: quarantine.StrikeAck{
					Number: 1,
				},
			},
			want: "320422020801",
		},
		{
			name: "policy ask",
			message: fleet.QuarantineMessage{
				Message: quarantine.PermitRequest{
					Number:      1,
					Attempt:     2,
					Fingerprint: strike.Fingerprint,
					Strikes:     strikes,
					Term:        time.Second,
				},
			},
			want: "32682a66080110021a100100000000000000000000000000000022480a10010000000000000000000000000000001210020000000000000000000000000000001a0d31302e302e302e313a3730303020032804320b31302e312e302e313a383038054001288094ebdc03",
		},
		{
			name: "policy reply, permitted",
			message: fleet.QuarantineMessage{
				Message: quarantine.PermitReply{
					Number:   1,
					Decision: quarantine.Permitted,
				},
			},
			want: "3218321608011a10000000000000000000000000000000002001",
		},
		{
			name: "policy reply, busy",
			message: fleet.QuarantineMessage{
				Message: quarantine.PermitReply{
					Number:      1,
					Attempt:     2,
					Fingerprint: strike.Fingerprint,
					Decision:    quarantine.Busy,
					Strikes:     strikes,
				},
			},
			want: "32643262080110021a100100000000000000000000000000000020022a480a10010000000000000000000000000000001210020000000000000000000000000000001a0d31302e302e302e313a3730303020032804320b31302e312e302e313a383038054001",
		},
		{
			name: "policy reply, denied",
			message: fleet.QuarantineMessage{
				Message: quarantine.PermitReply{
					Number:   1,
					Decision: quarantine.Denied,
				},
			},
			want: "3218321608011a10000000000000000000000000000000002003",
		},
		{
			name: "policy reply, elsewhere",
			message: fleet.QuarantineMessage{
				Message: quarantine.PermitReply{
					Number:   1,
					Decision: quarantine.NotAuthority,
				},
			},
			want: "3218321608011a10000000000000000000000000000000002004",
		},
		{
			name: "policy release, succeeded",
			message: fleet.QuarantineMessage{
				Message: quarantine.Release{
					Number: 1,
					Result: quarantine.Succeeded,
				},
			},
			want: "32183a1608011210000000000000000000000000000000001801",
		},
		{
			name: "policy release, inconclusive",
			message: fleet.QuarantineMessage{
				Message: quarantine.Release{
					Number: 1,
					Result: quarantine.Inconclusive,
				},
			},
			want: "32183a1608011210000000000000000000000000000000001802",
		},
		{
			name: "policy release, struck",
			message: fleet.QuarantineMessage{
				Message: quarantine.Release{
					Number:      1,
					Fingerprint: strike.Fingerprint,
					Result:      quarantine.TargetCrashed,
					Strike:      &strike,
				},
			},
			want: "32623a600801121001000000000000000000000000000000180322480a10010000000000000000000000000000001210020000000000000000000000000000001a0d31302e302e302e313a3730303020032804320b31302e312e302e313a383038054001",
		},
		{
			name: "policy released",
			message: fleet.QuarantineMessage{
				Message: quarantine.ReleaseAck{
					Number: 1,
				},
			},
			want: "320442020801",
		},
		{
			name: "policy cleared",
			message: fleet.QuarantineMessage{
				Message: quarantine.StrikeCleared{
					Fingerprint: strike.Fingerprint,
				},
			},
			want: "32144a120a1001000000000000000000000000000000",
		},
		{
			name: "policy recall",
			message: fleet.QuarantineMessage{
				Message: quarantine.StrikesRequest{},
			},
			want: "32025200",
		},
		{
			name: "policy recalled",
			message: fleet.QuarantineMessage{
				Message: quarantine.StrikesReply{
					Strikes: strikes,
				},
			},
			want: "324c5a4a0a480a10010000000000000000000000000000001210020000000000000000000000000000001a0d31302e302e302e313a3730303020032804320b31302e312e302e313a383038054001",
		},
	}
}

// TestNumbersOnTheWireAreFixed guards against changes of the numbers of an
// enumeration that is sent.
func TestNumbersOnTheWireAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal([]membership.Status{membership.Alive, membership.Suspect, membership.Left}, []membership.Status{0, 1, 2})
	is.Equal([]claim.State{claim.Running, claim.Ended, claim.Unknown}, []claim.State{0, 1, 2})
	is.Equal([]claim.Result{claim.Granted, claim.AlreadyClaimed, claim.NotAuthority, claim.Full, claim.TooFewReplicas}, []claim.Result{0, 1, 2, 3, 4})
	is.Equal([]quota.Reason{quota.Exhausted, quota.NoRights, quota.NoLimit, quota.TooCostly, quota.Unreachable, quota.Overloaded}, []quota.Reason{0, 1, 2, 3, 4, 5})
	is.Equal([]target.Action{target.Eject, target.Watch}, []target.Action{1, 2})
	is.Equal([]quarantine.Decision{quarantine.Permitted, quarantine.Busy, quarantine.Denied, quarantine.NotAuthority}, []quarantine.Decision{1, 2, 3, 4})
	is.Equal([]quarantine.Result{quarantine.Succeeded, quarantine.Inconclusive, quarantine.TargetCrashed}, []quarantine.Result{1, 2, 3})
}
