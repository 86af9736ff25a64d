// Package etcd implements the store.Client interface over the JSON gateway of
// the etcd v3 protocol.
//
// It uses only net/http and encoding/json. A call is one POST request. A watch
// is one POST request whose response is streamed until the first change.
//
// Failures are mapped to store.ErrUnavailable or store.ErrOutcomeUnknown,
// depending on whether the store may have received the request. Before a
// connection is established it can't have, so the next endpoint is tried. After
// that, only reads are retried at another endpoint. A write fails with
// store.ErrOutcomeUnknown, unless the store itself answered that it rejected the
// call: a store.Swap under a lease that has ended fails with
// store.ErrUnavailable, never with store.ErrNoLease.
//
// # Usage
//
//	client, err := etcd.New([]string{"http://10.0.0.9:2379"}, etcd.Timeout(time.Second))
//	answer, err := client.Do(ctx, store.Get{
//		Key: "document/head",
//	})
package etcd
