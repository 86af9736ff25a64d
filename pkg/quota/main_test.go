package quota_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of runs of the rapid tests, unless
// flags give them: -rapid.checks=1000 -rapid.seed=7 runs longer.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := []struct{ name, from, to string }{
		{"rapid.checks", "100", "5"},
		{"rapid.seed", "0", "1"},
	}
	for _, d := range defaults {
		if f := flag.Lookup(d.name); f != nil && f.Value.String() == d.from {
			_ = flag.Set(d.name, d.to)
		}
	}
	os.Exit(m.Run())
}
