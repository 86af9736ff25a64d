// Package demo runs a small fleet in one process: stand-ins for the store, the
// instance list and the targets, and three instances, connected over loopback.
// It sends a bounded load, injects one fault after the other, and prints for
// each property of the fleet what was measured and whether the property held.
//
// # Usage
//
//	failed, err := demo.Run(ctx, os.Stdout, demo.WithKeep(false))
package demo
