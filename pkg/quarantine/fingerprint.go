package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Outline is the digest of a request's organisation, route, method and path. It is
// known before the body is read: the body's digest is needed only if a fingerprint
// with the outline is suspect or quarantined.
type Outline [16]byte

// Fingerprint is the digest of an Outline and the body. Requests with the same
// fingerprint are treated as the same request.
type Fingerprint [16]byte

// OutlineOf returns the digest of the parts of a request that are known from its
// head. The path includes the query. Open routes have an empty organisation.
func OutlineOf(organisation, route, method, path string) Outline {
	var buffer [256]byte
	text := buffer[:0]
	for _, part := range [...]string{organisation, route, method, path} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return Outline(sum[:16])
}

// FingerprintOf returns the digest of the outline and the body's SHA-256 digest.
func FingerprintOf(o Outline, body [32]byte) Fingerprint {
	var text [16 + 32]byte
	copy(text[:16], o[:])
	copy(text[16:], body[:])
	sum := sha256.Sum256(text[:])
	return Fingerprint(sum[:16])
}

// ParseFingerprint returns the fingerprint of its hexadecimal form.
func ParseFingerprint(text string) (Fingerprint, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(Fingerprint{}) {
		return Fingerprint{}, errors.Errorf("%q is no fingerprint", text)
	}
	return Fingerprint(b), nil
}

// String returns the fingerprint in hexadecimal, as it appears in logs.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
