package fleet

import (
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
)

// receiveQuota passes a message to the holder or to the coordinator.
func (s *State) receiveQuota(from instance.ID, m quota.Message) {
	received := quota.Received{
		From:    from,
		Message: m,
	}
	if quota.ForHolder(m, s.self.ID) {
		s.handleHolderEffects(s.holder.Handle(s.now, received))
		return
	}
	s.handleCoordinatorEffects(s.coordinator.Handle(s.now, received))
}

// handleHolderEffects turns the effects of the quota holder into effects of
// State.
func (s *State) handleHolderEffects(effects []quota.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case quota.Send:
			s.send(e.To, QuotaMessage{
				Message: e.Message,
			})
		case quota.Admitted:
			s.emit(Admitted{
				Request: e.Request,
				Token:   e.Token,
			})
		case quota.Refused:
			s.emit(Refused{
				Refused: e,
			})
		}
	}
}

// handleCoordinatorEffects turns the effects of the quota coordinator into
// effects of State.
func (s *State) handleCoordinatorEffects(effects []quota.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case quota.Send:
			s.send(e.To, QuotaMessage{
				Message: e.Message,
			})
		case quota.Left:
			s.leaving.quotaHandedOver = true
		}
	}
}
