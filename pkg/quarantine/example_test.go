package quarantine_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
)

// singleInstance is the Directory of a fleet with one instance.
type singleInstance struct{}

func (singleInstance) Coordinator(time.Duration, quarantine.Fingerprint) (instance.Address, bool) {
	return "10.0.0.1:7000", true
}

func (singleInstance) AuthoritySince(time.Duration, quarantine.Fingerprint) (time.Duration, bool) {
	return 0, true
}

func (singleInstance) Peers(time.Duration) []instance.Address {
	return nil
}

func ExampleState() {
	self := instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 1,
	}
	state := quarantine.New(self, singleInstance{})
	outline := quarantine.OutlineOf("dealer", "reserve", "GET", "/sets/1")
	fingerprint := quarantine.FingerprintOf(outline, [32]byte{})
	now := 2 * time.Minute
	for n := range uint64(2) {
		for _, e := range state.Handle(now, quarantine.Crashed{
			Number:      n,
			Fingerprint: fingerprint,
			Outline:     outline,
			Target:      "10.1.0.1:80",
		}) {
			if e, ok := e.(quarantine.SnapshotChanged); ok {
				status, remaining := e.Snapshot.Lookup(now, fingerprint)
				fmt.Println(status == quarantine.Suspect, status == quarantine.Quarantined, remaining)
			}
		}
	}
	// Output:
	// true false 10m0s
	// false true 10m0s
}
