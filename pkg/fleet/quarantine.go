package fleet

import "dandelionmux/pkg/quarantine"

// handleQuarantineEffects turns the effects of the quarantine into effects of
// State. It ignores StrikeSpread, because the caller whose request caused the
// strike has been answered already.
func (s *State) handleQuarantineEffects(effects []quarantine.Effect) {
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
