// Package etcd adapts the platform's store to the port in package store, over
// the published JSON form of the etcd v3 protocol.
//
// It needs nothing but net/http and encoding/json. A call is one POST; a
// watch is one POST whose answer stays open until the first change. What can
// go wrong is sorted into the port's two errors by one question: may the store
// have seen the request? Until a connection is had, it has not, and the next
// endpoint is tried. Afterwards only a read is tried elsewhere; a write fails
// with store.ErrOutcomeUnknown unless the store itself said that it refused.
//
// # Usage
//
//	client, err := etcd.New([]string{"http://10.0.0.9:2379"}, etcd.Timeout(time.Second))
//	answer, err := client.Do(ctx, store.Get{
//		Key: "document/head",
//	})
package etcd
