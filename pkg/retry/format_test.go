package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/retry"
)

// Logs show these texts, so they must not change.
func TestTextsOfDecisionsAreFixed(t *testing.T) {
	tests := []struct {
		decision retry.Decision
		want     string
	}{
		{retry.Granted, "granted"},
		{retry.MayHaveRun, "may-have-run"},
		{retry.NoRetryNeeded, "pointless"},
		{retry.CrashedTwoTargets, "poisonous"},
		{retry.Exhausted, "exhausted"},
		{retry.Late, "late"},
		{retry.BudgetEmpty, "unpaid"},
		{retry.Decision(200), "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.decision.String(), tt.want)
	}
}
