package membership_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/membership"
)

// These tests fail if a text that is logged changes.

func TestTextsOfDecisionKindsAreFixed(t *testing.T) {
	tests := []struct {
		kind membership.DecisionKind
		want string
	}{
		{membership.Joined, "joined"},
		{membership.Suspected, "suspected"},
		{membership.SuspectedByPeer, "accused"},
		{membership.Refuted, "refuted"},
		{membership.Died, "died"},
		{membership.Departed, "departed"},
		{membership.Replaced, "replaced"},
		{membership.Paused, "paused"},
		{membership.DecisionKind(-1), "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.kind.String(), tt.want)
	}
}

func TestTextsOfStatusesAreFixed(t *testing.T) {
	tests := []struct {
		status membership.Status
		want   string
	}{
		{membership.Alive, "alive"},
		{membership.Suspect, "suspect"},
		{membership.Left, "left"},
		{membership.Status(9), "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.status.String(), tt.want)
	}
}
