package forward_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/forward"
)

// The texts of stages are logged and sent to callers as reasons, so they must
// not change.
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
