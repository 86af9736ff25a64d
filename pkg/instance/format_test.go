package instance_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
)

// This test guards against a change of the hash functions: instances of two
// versions would then rank each other differently and disagree on which
// instance has which role.
func TestRanksAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(instance.Hash("rate", 7), uint64(10510365543217027764))
	is.Equal(instance.Score(1, "10.0.0.1:7000"), uint64(10471824539794029569))
}
