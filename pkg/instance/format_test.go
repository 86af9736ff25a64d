package instance_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
)

// This test fails if ranks are computed otherwise: instances of two versions
// would disagree on who keeps what.
func TestRanksAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(instance.Hash("rate", 7), uint64(10510365543217027764))
	is.Equal(instance.Score(1, "10.0.0.1:7000"), uint64(10471824539794029569))
}
