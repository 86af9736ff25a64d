package gateway

import (
	"log/slog"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
)

// leavingReport reports that a run of a target has announced that it is leaving.
type leavingReport struct {
	Target      string
	Incarnation int64
	// Forward is as in failureReport.
	Forward bool
}

func (leavingReport) message() {}

func (m leavingReport) forwarded(forward bool) message {
	m.Forward = forward
	return m
}

func (m leavingReport) subject() string { return m.Target }

// encodeLeavingReport returns the wire form of a report.
func encodeLeavingReport(m leavingReport) []byte {
	b := appendNumber(nil, fieldType, leavingReportType)
	b = appendText(b, fieldName, m.Target)
	b = appendNumber(b, fieldNumber, uint64(m.Incarnation))
	return appendNumber(b, fieldForward, protowire.EncodeBool(m.Forward))
}

func (f *fields) leavingReport() leavingReport {
	return leavingReport{
		Target:      f.texts[fieldName],
		Incarnation: int64(min(f.numbers[fieldNumber], math.MaxInt64)),
		Forward:     protowire.DecodeBool(f.numbers[fieldForward]),
	}
}

// recordLeaving records that a target's answer has announced that it is leaving, and tells
// all instances if that is news: the store tells them later, if at all.
func (g *Gateway) recordLeaving(m leavingReport) {
	if g.applyLeaving(m) {
		g.sendToFleet(m)
	}
}

// handleLeavingReport records what another instance has reported, and forwards it to the
// zone if asked to.
func (g *Gateway) handleLeavingReport(from instance.Address, m leavingReport) {
	g.applyLeaving(m)
	if m.Forward {
		g.forwardToZone(from, m)
	}
}

// applyLeaving ends new work for a target that is leaving. It reports whether that is news.
func (g *Gateway) applyLeaving(m leavingReport) bool {
	news := false
	g.state.withLock(func() {
		now := boot.Now()
		if news = g.state.targets.Announce(now, m.Target, m.Incarnation); news {
			g.state.updateTables(now)
		}
	})
	if news {
		g.logger.Info("target announces its leave",
			slog.String("Target", m.Target),
			slog.Int64("Incarnation", m.Incarnation))
	}
	return news
}
