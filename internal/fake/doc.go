// Package fake provides the environment for deterministic tests: virtual time,
// a network that loses, delays and duplicates messages and can be cut, and a
// store in memory. The package starts no goroutines and reads no clock, so the
// same seed always gives the same run.
//
// # Usage
//
//	timeline := fake.NewTimeline(seed)
//	network := fake.NewNetwork(timeline)
//	memory := fake.NewStore(timeline)
//	network.Send("a", "b", func() { receive(message) })
//	memory.Do("a", call, func(answer store.Answer, err error) { handle(answer, err) })
//	timeline.Run(10 * time.Second)
package fake
