package gateway

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

// Guards against a request whose quarantine nobody stores, because three instances reported
// their strikes at the same time and none saw the third one itself.
func TestEachReporterOfAStrikeStoresTheQuarantine(t *testing.T) {
	tests := []struct {
		name  string
		own   bool
		saved int
	}{
		{
			name:  "an instance that has seen one of the crashes",
			own:   true,
			saved: 1,
		},
		{
			name: "an instance that has seen none",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{
				logger:   slog.New(slog.DiscardHandler),
				registry: metrics.NewRegistry(),
				unsaved:  make(chan quarantine.Fingerprint, maxUnsavedEntries),
			}
			g.state = newLocalState(g)
			f := quarantine.Fingerprint{1}
			first := failureReport{
				Target:  "desk-a",
				Outcome: target.Crashed,
				Suspect: f,
			}
			if tt.own {
				g.recordStrike(quarantine.OwnStrike{
					TallyStrike: quarantine.TallyStrike{
						Target: first.Target,
						Own:    true,
					},
					Fingerprint: f,
				}, false)
			} else {
				g.handleSuspect(first)
			}
			for _, name := range []string{"desk-b", "desk-c"} {
				g.handleSuspect(failureReport{
					Target:  name,
					Outcome: target.Crashed,
					Suspect: f,
				})
			}
			is.Equal(len(g.unsaved), tt.saved)
		})
	}
}
