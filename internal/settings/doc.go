// Package settings reads and checks the settings of one instance at its start.
//
// A setting comes from a flag (-peer-address), an environment variable
// (DANDELIONMUX_PEER_ADDRESS) or a JSON file (PeerAddress), in this order of
// precedence. Parse reports all invalid settings at once, each with its value and
// the allowed values, and rejects unknown names.
//
// # Usage
//
//	s, err := settings.Parse("dandelionmux serve", os.Args[2:], os.Stderr)
//	if err != nil {
//		// The error's text has one line for each problem.
//	}
package settings
