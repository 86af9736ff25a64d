package queue_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/queue"
)

// This test fails if a text that is logged changes.
func TestTextsOfReasonsAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(queue.Overflow.String(), "overflow")
	is.Equal(queue.Late.String(), "late")
}
