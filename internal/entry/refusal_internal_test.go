package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a Retry-After that was true when a refusal was made, but isn't when it
// leaves behind slower answers.
func TestRetryAfterEndsAtTheSameTimeAfterAWait(t *testing.T) {
	tests := []struct {
		name string
		made time.Duration
		wait time.Duration
		want time.Duration
	}{
		{"none", 0, time.Second, 0},
		{"not waited", time.Second, 0, time.Second},
		{"waited", time.Second, 300 * time.Millisecond, 700 * time.Millisecond},
		{"waited longer", time.Second, 3 * time.Second, minRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Refusal{
				Reason:     "target-shed",
				RetryAfter: tt.made,
			}
			is.Equal(r.after(tt.wait).RetryAfter, tt.want)
			is.Equal(r.after(tt.wait).Reason, r.Reason)
			is.Equal(r.RetryAfter, tt.made)
		})
	}
}
