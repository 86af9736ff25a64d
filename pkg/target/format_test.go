package target_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/target"
)

// These tests fail if a text or number that is sent, logged or counted changes.
// Instances of different versions and tools that read logs and metrics depend on
// them.

func TestOutcomesAreFixed(t *testing.T) {
	tests := []struct {
		outcome target.Outcome
		number  uint8
		want    string
	}{
		{target.Succeeded, 0, "succeeded"},
		{target.Failed, 1, "failed"},
		{target.TimedOut, 2, "timed-out"},
		{target.Truncated, 3, "truncated"},
		{target.Crashed, 4, "crashed"},
		{target.Shed, 5, "shed"},
		{target.Refused, 6, "refused"},
		{target.Cancelled, 7, "cancelled"},
		{target.Disconnected, 8, "disconnected"},
		{target.Outcome(9), 9, "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(uint8(tt.outcome), tt.number)
		is.Equal(tt.outcome.String(), tt.want)
	}
}

func TestTextsOfReasonsAreFixed(t *testing.T) {
	tests := []struct {
		reason target.Reason
		want   string
	}{
		{target.Healthy, ""},
		{target.Leaving, "leaving"},
		{target.Warming, "warming"},
		{target.Failing, "failing"},
		{target.Slow, "slow"},
		{target.Unreachable, "unreachable"},
		{target.Suspicious, "suspicious"},
		{target.SparedByFloor, "spared-by-floor"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(string(tt.reason), tt.want)
	}
}

func TestTextsOfKindsAreFixed(t *testing.T) {
	tests := []struct {
		kind target.DecisionKind
		want string
	}{
		{target.Ejected, "ejected"},
		{target.Returned, "returned"},
		{target.Watched, "watched"},
		{target.KeptByFloor, "kept-by-floor"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(string(tt.kind), tt.want)
	}
}
