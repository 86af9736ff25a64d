// Package store is the port to the platform's small key-value store: what can
// be asked of it, and what it can answer, as plain values.
//
// Deterministic parts put a Call into an effect and get an Answer or an error
// back in an event; adapters carry calls out through a Client. The store keeps
// a counter that grows with each write. An Entry's Version is the counter's
// value at the entry's last write, so a Swap that expects a version succeeds
// only if nobody wrote in between, also when the value is the same again.
//
// A call that fails with ErrUnavailable has certainly had no effect. With
// ErrOutcomeUnknown it may have taken effect, now or later: the caller reads again
// and compares what it finds with what it meant to write.
//
// # Usage
//
//	answer, err := client.Do(ctx, store.Swap{
//		Key:      "share/17",
//		Value:    record,
//		Expected: entry.Version,
//	})
//	if errors.Is(err, store.ErrOutcomeUnknown) {
//		// Read the key before deciding anything.
//	}
package store
