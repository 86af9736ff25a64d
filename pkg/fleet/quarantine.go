package fleet

import "dandelionmux/pkg/quarantine"

// takeQuarantine carries on what the quarantine put out. A strike's caller does
// not wait for StrikeSpread: it has its answer already.
func (s *State) takeQuarantine(effects []quarantine.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case quarantine.Send:
			s.send(e.To, QuarantineMessage{
				Message: e.Message,
			})
		case quarantine.PermitAnswered:
			s.emit(PermitAnswered{
				PermitAnswered: e,
			})
		case quarantine.SnapshotChanged:
			s.emit(StrikesChanged{
				Snapshot: e.Snapshot,
			})
		case quarantine.Ready:
			s.strikesKnown = true
		}
	}
}
