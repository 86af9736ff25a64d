// Package store defines the interface to the platform's small key-value store:
// its calls and their answers, as plain values.
//
// The deterministic state machines of the fleet return a Call as an effect and
// receive its Answer, or an error, in an event. Adapters carry calls out through
// a Client. The store keeps a counter that increases with each write. An Entry's
// Version is the counter at the entry's last write, so a Swap that expects a
// version succeeds only if there was no write in between, even one that restored
// the same value.
//
// A call that fails with ErrUnavailable has had no effect and will have none.
// A call that fails with ErrOutcomeUnknown may have taken effect, or may still
// do so: the caller has to read the key and compare it with what it meant to
// write.
//
// # Usage
//
//	answer, err := client.Do(ctx, store.Swap{
//		Key:      "share/17",
//		Value:    record,
//		Expected: entry.Version,
//	})
//	if errors.Is(err, store.ErrOutcomeUnknown) {
//		// Read the key to find out whether the write took effect.
//	}
package store
