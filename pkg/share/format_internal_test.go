package share

import (
	"testing"

	"github.com/matryer/is"
)

// This test fails if a key in the store changes: an instance could no longer
// find what another version wrote.
func TestKeysInTheStoreAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(totalKey, "share/total")
	is.Equal(holderPrefix, "holder/")
	is.Equal(string(encode(Totals{Total: 24})), `{"Total":24}`)
}
