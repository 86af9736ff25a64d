// Package wire converts the messages that instances send each other to protobuf
// and back. The conversion is written by hand, so that the packages that define
// the messages don't depend on protobuf.
//
// The decoders don't trust the sender: they check every count, length and
// enumeration before they use it. A message that they return is one that this
// program could have sent. Otherwise the error wraps ErrMalformed,
// ErrMalformedClaim or ErrMalformedQuota.
//
// # Usage
//
//	content, err := proto.Marshal(wire.EncodeMembership(message))
//	...
//	message, err := wire.DecodeMembership(decoded)
package wire

import "github.com/go-faster/errors"

// ErrMalformed means that a message isn't one that an instance sends.
var ErrMalformed = errors.New("malformed message")
