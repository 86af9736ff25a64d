package revision

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Digest is the SHA-256 digest of a part or of an encoded head.
type Digest [sha256.Size]byte

// DigestOf returns the digest of content.
func DigestOf(content []byte) Digest {
	return sha256.Sum256(content)
}

// ParseDigest parses the form that String returns. Its errors wrap ErrMalformed.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return Digest{}, errors.Wrapf(ErrMalformed, "digest has %d characters, not %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, errors.Wrapf(ErrMalformed, "digest %q is not in hexadecimal", text)
	}
	return d, nil
}

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}
