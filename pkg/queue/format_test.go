package queue_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/queue"
)

// TestReasonTextsAreFixed fails if the text of a reason changes, since logs contain
// it.
func TestReasonTextsAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(queue.Overflow.String(), "overflow")
	is.Equal(queue.Late.String(), "late")
}
