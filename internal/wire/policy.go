package wire

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

// Upper bounds of what policy messages may contain.
const (
	maxPolicyTargets   = 1024
	maxPolicyCells     = 1024
	maxPolicyCount     = 1 << 20 // of attempts, refusals or latencies
	maxPolicyStrikes   = 4096
	maxPolicyNameBytes = 512
	maxPolicyAttempt   = 1 << 20
	maxPolicyTerm      = 24 * time.Hour
)

// Policy is a message about the health of targets or about the quarantine.
// Exactly one field is set.
type Policy struct {
	Report     *target.Report
	Verdicts   *target.Verdicts
	Quarantine quarantine.Message
}

// EncodePolicy converts a message to its wire form.
func EncodePolicy(p Policy) *gen.PolicyMessage {
	switch {
	case p.Report != nil:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Report{
				Report: encodePolicyReport(*p.Report),
			},
		}
	case p.Verdicts != nil:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Verdicts{
				Verdicts: encodePolicyVerdicts(*p.Verdicts),
			},
		}
	default:
		return encodeQuarantine(p.Quarantine)
	}
}

func encodeQuarantine(m quarantine.Message) *gen.PolicyMessage {
	switch m := m.(type) {
	case quarantine.Strike:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Strike{
				Strike: encodePolicyStrike(m),
			},
		}
	case quarantine.StrikeAck:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Noted{
				Noted: &gen.PolicyNoted{
					Number: m.Number,
				},
			},
		}
	case quarantine.StrikeCleared:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Cleared{
				Cleared: &gen.PolicyCleared{
					Fingerprint: m.Fingerprint[:],
				},
			},
		}
	case quarantine.StrikesRequest:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Recall{
				Recall: &gen.PolicyRecall{},
			},
		}
	case quarantine.StrikesReply:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Recalled{
				Recalled: &gen.PolicyRecalled{
					Strikes: encodePolicyStrikes(m.Strikes),
				},
			},
		}
	}
	return encodePermit(m)
}

// encodePermit converts the messages about permits to run a suspected request.
func encodePermit(m quarantine.Message) *gen.PolicyMessage {
	switch m := m.(type) {
	case quarantine.PermitRequest:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Ask{
				Ask: &gen.PolicyAsk{
					Number:          m.Number,
					Attempt:         uint32(m.Attempt),
					Fingerprint:     m.Fingerprint[:],
					Strikes:         encodePolicyStrikes(m.Strikes),
					TermNanoseconds: int64(m.Term),
				},
			},
		}
	case quarantine.PermitReply:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Reply{
				Reply: &gen.PolicyReply{
					Number:      m.Number,
					Attempt:     uint32(m.Attempt),
					Fingerprint: m.Fingerprint[:],
					Verdict:     uint32(m.Decision),
					Strikes:     encodePolicyStrikes(m.Strikes),
				},
			},
		}
	case quarantine.Release:
		release := &gen.PolicyRelease{
			Number:      m.Number,
			Fingerprint: m.Fingerprint[:],
			Result:      uint32(m.Result),
		}
		if m.Strike != nil {
			release.Strike = encodePolicyStrike(*m.Strike)
		}
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Release{
				Release: release,
			},
		}
	case quarantine.ReleaseAck:
		return &gen.PolicyMessage{
			Body: &gen.PolicyMessage_Released{
				Released: &gen.PolicyReleased{
					Number: m.Number,
				},
			},
		}
	}
	return &gen.PolicyMessage{}
}

func encodePolicyReport(r target.Report) *gen.PolicyReport {
	out := &gen.PolicyReport{
		Service: r.Service,
		Number:  r.Number,
	}
	for _, e := range r.Targets {
		evidence := &gen.PolicyEvidence{
			Target:  e.Target,
			Refused: e.Refused,
		}
		for _, c := range e.Cells {
			evidence.Cells = append(evidence.Cells, &gen.PolicyCell{
				Organisation: c.Stratum.Organisation,
				Route:        c.Stratum.Route,
				Attempts:     c.Attempts,
				Failures:     c.Failures,
				Crashes:      c.Crashes,
			})
		}
		for i, n := range e.Latency.Counts {
			if n > 0 {
				evidence.Latency = append(evidence.Latency, uint32(i), n)
			}
		}
		out.Targets = append(out.Targets, evidence)
	}
	return out
}

func encodePolicyVerdicts(v target.Verdicts) *gen.PolicyVerdicts {
	out := &gen.PolicyVerdicts{
		Service:         v.Service,
		Epoch:           v.Epoch,
		Number:          v.Number,
		ByAddress:       string(v.Authority.Address),
		ByIncarnation:   v.Authority.Incarnation,
		TermNanoseconds: int64(v.Term),
	}
	for _, d := range v.List {
		out.List = append(out.List, &gen.PolicyVerdict{
			Target:   d.Target,
			Action:   uint32(d.Action),
			Reason:   string(d.Reason),
			Severity: d.Severity,
			Sample:   d.SampleFraction,
		})
	}
	return out
}

func encodePolicyStrike(k quarantine.Strike) *gen.PolicyStrike {
	return &gen.PolicyStrike{
		Fingerprint:     k.Fingerprint[:],
		Outline:         k.Outline[:],
		ByAddress:       string(k.Origin.Address),
		ByIncarnation:   k.Origin.Incarnation,
		Number:          k.Number,
		Target:          k.Target,
		LeftNanoseconds: int64(k.Remaining),
		Cleared:         k.Cleared,
	}
}

func encodePolicyStrikes(list []quarantine.Strike) []*gen.PolicyStrike {
	var out []*gen.PolicyStrike
	for _, k := range list {
		out = append(out, encodePolicyStrike(k))
	}
	return out
}

// DecodePolicy converts a message from its wire form. Its errors wrap
// ErrMalformed.
func DecodePolicy(w *gen.PolicyMessage) (Policy, error) {
	switch m := w.GetBody().(type) {
	case *gen.PolicyMessage_Report:
		r, err := decodePolicyReport(m.Report)
		return Policy{
			Report: r,
		}, err
	case *gen.PolicyMessage_Verdicts:
		v, err := decodePolicyVerdicts(m.Verdicts)
		return Policy{
			Verdicts: v,
		}, err
	default:
		q, err := decodeQuarantine(w)
		return Policy{
			Quarantine: q,
		}, err
	}
}

func decodeQuarantine(w *gen.PolicyMessage) (quarantine.Message, error) {
	switch m := w.GetBody().(type) {
	case *gen.PolicyMessage_Strike:
		return decodePolicyStrike(m.Strike)
	case *gen.PolicyMessage_Noted:
		return quarantine.StrikeAck{
			Number: m.Noted.GetNumber(),
		}, nil
	case *gen.PolicyMessage_Ask:
		return decodePermitRequest(m.Ask)
	case *gen.PolicyMessage_Reply:
		return decodePermitReply(m.Reply)
	case *gen.PolicyMessage_Release:
		return decodePermitRelease(m.Release)
	case *gen.PolicyMessage_Released:
		return quarantine.ReleaseAck{
			Number: m.Released.GetNumber(),
		}, nil
	case *gen.PolicyMessage_Cleared:
		f, err := decodePolicyDigest(m.Cleared.GetFingerprint())
		return quarantine.StrikeCleared{
			Fingerprint: f,
		}, err
	case *gen.PolicyMessage_Recall:
		return quarantine.StrikesRequest{}, nil
	case *gen.PolicyMessage_Recalled:
		strikes, err := decodePolicyStrikes(m.Recalled.GetStrikes())
		return quarantine.StrikesReply{
			Strikes: strikes,
		}, err
	}
	return nil, errors.Wrap(ErrMalformed, "policy message without a known body")
}

func decodePolicyReport(w *gen.PolicyReport) (*target.Report, error) {
	r := &target.Report{
		Service: w.GetService(),
		Number:  w.GetNumber(),
	}
	if !validPolicyName(r.Service) || len(w.GetTargets()) > maxPolicyTargets {
		return nil, errors.Wrap(ErrMalformed, "policy report")
	}
	for _, e := range w.GetTargets() {
		targetReport, err := decodeTargetReport(e)
		if err != nil {
			return nil, err
		}
		r.Targets = append(r.Targets, targetReport)
	}
	return r, nil
}

func decodeTargetReport(w *gen.PolicyEvidence) (target.TargetReport, error) {
	e := target.TargetReport{
		Target:  w.GetTarget(),
		Refused: w.GetRefused(),
	}
	latency := w.GetLatency()
	if !validPolicyName(e.Target) || len(w.GetCells()) > maxPolicyCells ||
		len(latency)%2 != 0 || len(latency) > 2*target.BucketCount || e.Refused > maxPolicyCount {
		return e, errors.Wrap(ErrMalformed, "policy report of a target")
	}
	for _, c := range w.GetCells() {
		cell := target.Cell{
			Stratum: target.Stratum{
				Organisation: c.GetOrganisation(),
				Route:        c.GetRoute(),
			},
			Attempts: c.GetAttempts(),
			Failures: c.GetFailures(),
			Crashes:  c.GetCrashes(),
		}
		if cell.Attempts > maxPolicyCount || cell.Failures > cell.Attempts || cell.Crashes > cell.Failures {
			return e, errors.Wrap(ErrMalformed, "policy report: cell")
		}
		e.Cells = append(e.Cells, cell)
	}
	for i := 0; i < len(latency); i += 2 {
		if latency[i] >= target.BucketCount || latency[i+1] > maxPolicyCount {
			return e, errors.Wrap(ErrMalformed, "policy report: latency")
		}
		e.Latency.AddCount(int(latency[i]), latency[i+1])
	}
	return e, nil
}

func decodePolicyVerdicts(w *gen.PolicyVerdicts) (*target.Verdicts, error) {
	v := &target.Verdicts{
		Service: w.GetService(),
		Epoch:   w.GetEpoch(),
		Number:  w.GetNumber(),
		Authority: instance.ID{
			Address:     instance.Address(w.GetByAddress()),
			Incarnation: w.GetByIncarnation(),
		},
		Term: time.Duration(w.GetTermNanoseconds()),
	}
	if !validPolicyName(v.Service) || !validPolicyName(w.GetByAddress()) ||
		!validPolicyTerm(v.Term) || len(w.GetList()) > maxPolicyTargets {
		return nil, errors.Wrap(ErrMalformed, "policy verdicts")
	}
	for _, d := range w.GetList() {
		verdict := target.Verdict{
			Target:         d.GetTarget(),
			Action:         target.Action(d.GetAction()),
			Reason:         target.Reason(d.GetReason()),
			Severity:       d.GetSeverity(),
			SampleFraction: d.GetSample(),
		}
		known := d.GetAction() == uint32(target.Eject) || d.GetAction() == uint32(target.Watch)
		if !known || !validPolicyName(verdict.Target) || len(verdict.Reason) > maxPolicyNameBytes ||
			math.IsNaN(verdict.Severity) || math.IsInf(verdict.Severity, 0) ||
			!(verdict.SampleFraction >= 0 && verdict.SampleFraction <= 1) {
			return nil, errors.Wrap(ErrMalformed, "policy verdict")
		}
		v.List = append(v.List, verdict)
	}
	return v, nil
}

func decodePolicyStrike(w *gen.PolicyStrike) (quarantine.Strike, error) {
	fingerprint, err := decodePolicyDigest(w.GetFingerprint())
	if err != nil {
		return quarantine.Strike{}, err
	}
	outline, err := decodePolicyDigest(w.GetOutline())
	if err != nil {
		return quarantine.Strike{}, err
	}
	k := quarantine.Strike{
		Fingerprint: fingerprint,
		Outline:     quarantine.Outline(outline),
		Origin: instance.ID{
			Address:     instance.Address(w.GetByAddress()),
			Incarnation: w.GetByIncarnation(),
		},
		Number:    w.GetNumber(),
		Target:    w.GetTarget(),
		Remaining: time.Duration(w.GetLeftNanoseconds()),
		Cleared:   w.GetCleared(),
	}
	if !validPolicyName(w.GetByAddress()) || len(k.Target) > maxPolicyNameBytes || !validPolicyTerm(k.Remaining) {
		return quarantine.Strike{}, errors.Wrap(ErrMalformed, "policy strike")
	}
	return k, nil
}

func decodePolicyStrikes(list []*gen.PolicyStrike) ([]quarantine.Strike, error) {
	if len(list) > maxPolicyStrikes {
		return nil, errors.Wrap(ErrMalformed, "policy strikes")
	}
	var out []quarantine.Strike
	for _, w := range list {
		k, err := decodePolicyStrike(w)
		if err != nil {
			return nil, err
		}
		out = append(out, k)
	}
	return out, nil
}

func decodePermitRequest(w *gen.PolicyAsk) (quarantine.Message, error) {
	f, err := decodePolicyDigest(w.GetFingerprint())
	if err != nil {
		return nil, err
	}
	strikes, err := decodePolicyStrikes(w.GetStrikes())
	if err != nil {
		return nil, err
	}
	term := time.Duration(w.GetTermNanoseconds())
	if !validPolicyTerm(term) || w.GetAttempt() > maxPolicyAttempt {
		return nil, errors.Wrap(ErrMalformed, "policy permit request")
	}
	return quarantine.PermitRequest{
		Number:      w.GetNumber(),
		Attempt:     int(w.GetAttempt()),
		Fingerprint: f,
		Strikes:     strikes,
		Term:        term,
	}, nil
}

func decodePermitReply(w *gen.PolicyReply) (quarantine.Message, error) {
	f, err := decodePolicyDigest(w.GetFingerprint())
	if err != nil {
		return nil, err
	}
	strikes, err := decodePolicyStrikes(w.GetStrikes())
	if err != nil {
		return nil, err
	}
	if w.GetVerdict() < uint32(quarantine.Permitted) || w.GetVerdict() > uint32(quarantine.NotAuthority) ||
		w.GetAttempt() > maxPolicyAttempt {
		return nil, errors.Wrap(ErrMalformed, "policy permit reply")
	}
	return quarantine.PermitReply{
		Number:      w.GetNumber(),
		Attempt:     int(w.GetAttempt()),
		Fingerprint: f,
		Decision:    quarantine.Decision(w.GetVerdict()),
		Strikes:     strikes,
	}, nil
}

func decodePermitRelease(w *gen.PolicyRelease) (quarantine.Message, error) {
	f, err := decodePolicyDigest(w.GetFingerprint())
	if err != nil {
		return nil, err
	}
	if w.GetResult() < uint32(quarantine.Succeeded) || w.GetResult() > uint32(quarantine.TargetCrashed) {
		return nil, errors.Wrap(ErrMalformed, "policy permit release")
	}
	r := quarantine.Release{
		Number:      w.GetNumber(),
		Fingerprint: f,
		Result:      quarantine.Result(w.GetResult()),
	}
	if w.GetStrike() == nil {
		return r, nil
	}
	k, err := decodePolicyStrike(w.GetStrike())
	if err != nil {
		return nil, err
	}
	r.Strike = &k
	return r, nil
}

func decodePolicyDigest(b []byte) (quarantine.Fingerprint, error) {
	if len(b) != len(quarantine.Fingerprint{}) {
		return quarantine.Fingerprint{}, errors.Wrapf(ErrMalformed, "policy digest of %d bytes", len(b))
	}
	return quarantine.Fingerprint(b), nil
}

// validPolicyName reports whether a name has between 1 and maxPolicyNameBytes
// bytes.
func validPolicyName(s string) bool {
	return s != "" && len(s) <= maxPolicyNameBytes
}

// validPolicyTerm reports whether a duration is between 0 and maxPolicyTerm.
func validPolicyTerm(d time.Duration) bool {
	return d >= 0 && d <= maxPolicyTerm
}
