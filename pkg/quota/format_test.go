package quota_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/quota"
)

// Guards the texts of reasons, which are logged.
func TestTextsOfReasonsAreFixed(t *testing.T) {
	tests := []struct {
		reason quota.Reason
		want   string
	}{
		{quota.Exhausted, "exhausted"},
		{quota.NoRights, "no rights"},
		{quota.NoLimit, "no limit"},
		{quota.TooCostly, "too costly"},
		{quota.Unreachable, "unreachable"},
		{quota.Overloaded, "overloaded"},
		{quota.Reason(-1), "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.reason.String(), tt.want)
	}
}
