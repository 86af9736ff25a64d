package fleet

import (
	"strings"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/store"
)

// handleClaimEffects turns the effects of the claims into effects of State.
func (s *State) handleClaimEffects(effects []claim.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Send:
			s.send(e.To, ClaimMessage{
				Message: e.Message,
			})
		case claim.Run, claim.Duplicate, claim.Refused:
			s.emit(ClaimAnswered{
				Answer: e,
			})
		case claim.Left:
			s.leaving.claimsHandedOver = true
		}
	}
}

// trackListCall remembers the number of the last store call that lists the
// share records.
func (s *State) trackListCall(e StoreCall) {
	if l, ok := e.Call.(store.List); ok && e.Component == ComponentShare && l.Prefix == share.RecordPrefix {
		s.listCall = e.Number
	}
}

// checkShareRecords checks the answer to the last listing of the share records.
// If at least half of the shares have no record, nobody has held a majority
// yet, so that no claim can have been lost.
func (s *State) checkShareRecords(e StoreAnswer) {
	entries, ok := e.Answer.(store.Entries)
	if !ok || e.Component != ComponentShare || e.Number != s.listCall {
		return
	}
	held := 0
	for _, r := range entries.Entries {
		if strings.HasPrefix(r.Key, share.RecordPrefix) {
			held++
		}
	}
	if 2*held <= s.shareTotal {
		s.handleClaimEffects(s.claims.Handle(s.now, claim.FirstRun{}))
	}
}
