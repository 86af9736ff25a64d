package forward_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/forward"
)

// This test fails if a text that is logged or sent as a reason changes.
func TestTextsOfStagesAreFixed(t *testing.T) {
	tests := []struct {
		stage forward.Stage
		want  string
	}{
		{forward.Unconnected, "unconnected"},
		{forward.Gated, "gated"},
		{forward.Unsent, "unsent"},
		{forward.Sent, "sent"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.stage.String(), tt.want)
	}
}
