package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/quarantine"
)

// Guards against crashes that never count because the instance that saw them had no links,
// and against strikes for connections that only its lost links ended.
func TestStrikeCountsOnceItsTargetHasEnded(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		// ended is the run that has ended.
		ended   int64
		cleared bool
		counts  bool
	}{
		{
			name:   "the target's registration ends",
			after:  5 * time.Second,
			ended:  7,
			counts: true,
		},
		{
			name:  "an earlier run had ended",
			after: 5 * time.Second,
			ended: 6,
		},
		{
			name:  "the target ends much later",
			after: 20 * time.Second,
			ended: 7,
		},
		{
			name:    "a target has answered the request meanwhile",
			after:   5 * time.Second,
			ended:   7,
			cleared: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := quarantine.Unconfirmed{}
			u.Add(quarantine.OwnStrike{
				TallyStrike: quarantine.TallyStrike{
					Target:      "desk-1",
					Incarnation: 7,
				},
				Fingerprint: f,
				At:          now,
			})
			if tt.cleared {
				u.Clear(f)
			}
			ended := func(target string, incarnation int64) bool {
				return target == "desk-1" && incarnation <= tt.ended
			}
			is.Equal(len(u.Confirm(now+tt.after, ended)) > 0, tt.counts)
			is.Equal(len(u.Confirm(now+tt.after, ended)), 0) // each counts once
		})
	}
}
