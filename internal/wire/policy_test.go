package wire_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

func policyMessages() []wire.Policy {
	var latency target.Histogram
	latency.Add(20 * time.Millisecond)
	latency.Add(30 * time.Millisecond)
	origin := instance.ID{Address: "10.0.0.1:7000", Incarnation: 3}
	strike := quarantine.Strike{
		Fingerprint: quarantine.Fingerprint{1},
		Outline:     quarantine.Outline{2},
		Origin:      origin,
		Number:      4,
		Target:      "10.1.0.1:80",
		Remaining:   time.Minute,
		Cleared:     true,
	}
	return []wire.Policy{
		{Report: &target.Report{Service: "catalogue", Number: 7, Targets: []target.TargetReport{{
			Target:  "c1",
			Cells:   []target.Cell{{Stratum: target.StratumOf("shop", "sets"), Attempts: 3, Failures: 2, Crashes: 1}},
			Latency: latency,
			Refused: 5,
		}}}},
		{Verdicts: &target.Verdicts{Service: "catalogue", Epoch: 2, Number: 9, Authority: origin, Term: 15 * time.Second, List: []target.Verdict{{
			Target: "c1", Action: target.Eject, Reason: target.Failing, Severity: 1.5, SampleFraction: 0.1,
		}}}},
		{Quarantine: strike},
		{Quarantine: quarantine.StrikeAck{Number: 1}},
		{Quarantine: quarantine.PermitRequest{Number: 1, Attempt: 2, Fingerprint: strike.Fingerprint, Strikes: []quarantine.Strike{strike}, Term: time.Second}},
		{Quarantine: quarantine.PermitReply{Number: 1, Attempt: 2, Fingerprint: strike.Fingerprint, Decision: quarantine.Busy, Strikes: []quarantine.Strike{strike}}},
		{Quarantine: quarantine.Release{Number: 1, Fingerprint: strike.Fingerprint, Result: quarantine.TargetCrashed, Strike: &strike}},
		{Quarantine: quarantine.Release{Number: 1, Fingerprint: strike.Fingerprint, Result: quarantine.Succeeded}},
		{Quarantine: quarantine.ReleaseAck{Number: 1}},
		{Quarantine: quarantine.StrikeCleared{Fingerprint: strike.Fingerprint}},
		{Quarantine: quarantine.StrikesRequest{}},
		{Quarantine: quarantine.StrikesReply{Strikes: []quarantine.Strike{strike}}},
	}
}

func TestPolicyRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range policyMessages() {
		content, err := proto.Marshal(wire.EncodePolicy(m))
		is.NoErr(err)
		var w gen.PolicyMessage
		is.NoErr(proto.Unmarshal(content, &w))
		got, err := wire.DecodePolicy(&w)
		is.NoErr(err)
		is.Equal(got, m)
	}
}

func TestMalformedPolicyIsRefused(t *testing.T) {
	report := func(change func(*gen.PolicyReport)) *gen.PolicyMessage {
		w := wire.EncodePolicy(policyMessages()[0])
		change(w.GetReport())
		return w
	}
	verdict := func(change func(*gen.PolicyVerdict)) *gen.PolicyMessage {
		w := wire.EncodePolicy(policyMessages()[1])
		change(w.GetVerdicts().GetList()[0])
		return w
	}
	strike := func(change func(*gen.PolicyStrike)) *gen.PolicyMessage {
		w := wire.EncodePolicy(policyMessages()[2])
		change(w.GetStrike())
		return w
	}
	tests := []struct {
		name string
		wire *gen.PolicyMessage
	}{
		{name: "empty", wire: &gen.PolicyMessage{}},
		{name: "no service", wire: report(func(r *gen.PolicyReport) { r.Service = "" })},
		{name: "more failures than attempts", wire: report(func(r *gen.PolicyReport) { r.Targets[0].Cells[0].Failures = 9 })},
		{name: "more crashes than failures", wire: report(func(r *gen.PolicyReport) { r.Targets[0].Cells[0].Crashes = 3 })},
		{name: "unknown bucket", wire: report(func(r *gen.PolicyReport) { r.Targets[0].Latency[0] = 80 })},
		{name: "latency with half a pair", wire: report(func(r *gen.PolicyReport) { r.Targets[0].Latency = r.Targets[0].Latency[:1] })},
		{name: "huge count", wire: report(func(r *gen.PolicyReport) { r.Targets[0].Latency[1] = 1 << 31 })},
		{name: "too many targets", wire: report(func(r *gen.PolicyReport) {
			for len(r.Targets) < 1025 {
				r.Targets = append(r.Targets, r.Targets[0])
			}
		})},
		{name: "unknown action", wire: verdict(func(v *gen.PolicyVerdict) { v.Action = 258 })},
		{name: "sample above one", wire: verdict(func(v *gen.PolicyVerdict) { v.Sample = 1.1 })},
		{name: "short fingerprint", wire: strike(func(k *gen.PolicyStrike) { k.Fingerprint = k.Fingerprint[:15] })},
		{name: "negative term", wire: strike(func(k *gen.PolicyStrike) { k.LeftNanoseconds = -1 })},
		{name: "endless term", wire: strike(func(k *gen.PolicyStrike) { k.LeftNanoseconds = 1 << 62 })},
		{name: "strike without an origin", wire: strike(func(k *gen.PolicyStrike) { k.ByAddress = "" })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := wire.DecodePolicy(tt.wire)
			is.True(errors.Is(err, wire.ErrMalformed))
		})
	}
}

func FuzzDecodePolicy(f *testing.F) {
	for _, m := range policyMessages() {
		content, err := proto.Marshal(wire.EncodePolicy(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var w gen.PolicyMessage
		if proto.Unmarshal(content, &w) != nil {
			return
		}
		m, err := wire.DecodePolicy(&w)
		if err != nil {
			return
		}
		again, err := wire.DecodePolicy(wire.EncodePolicy(m))
		if err != nil {
			t.Fatalf("own message refused: %v", err)
		}
		is.New(t).Equal(again, m)
	})
}
