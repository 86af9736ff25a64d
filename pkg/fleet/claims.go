package fleet

import (
	"strings"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/store"
)

// takeClaims carries on what the claims put out.
func (s *State) takeClaims(effects []claim.Effect) {
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
			s.leaving.claimsLeft = true
		}
	}
}

// noteCall remembers which calls list the shares.
func (s *State) noteCall(e StoreCall) {
	if l, ok := e.Call.(store.List); ok && e.Component == ComponentShare && l.Prefix == share.RecordPrefix {
		s.listing = e.Number
	}
}

// noteRecords looks at a list of the shares' records. Where most shares were
// never held, nobody can have been an authority, so no claim can have been lost.
func (s *State) noteRecords(e StoreAnswer) {
	entries, ok := e.Answer.(store.Entries)
	if !ok || e.Component != ComponentShare || e.Number != s.listing {
		return
	}
	held := 0
	for _, r := range entries.Entries {
		if strings.HasPrefix(r.Key, share.RecordPrefix) {
			held++
		}
	}
	if 2*held <= s.total {
		s.takeClaims(s.claims.Handle(s.now, claim.FirstRun{}))
	}
}
