package claim_test

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/share"
)

// Guards the texts of reasons, which are logged.
func TestTextsOfReasonsAreFixed(t *testing.T) {
	tests := []struct {
		reason claim.Reason
		want   string
	}{
		{claim.NoAuthority, "no authority"},
		{claim.TooManyClaims, "too many claims"},
		{claim.TooFewInstances, "too few instances"},
		{claim.Reason(9), "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.reason.String(), tt.want)
	}
}

// Guards the digests of keys and their shards: if they differed between two
// versions, instances would ask different authorities and a request could run
// twice.
func TestKeysAndTheirShardsAreFixed(t *testing.T) {
	is := is.New(t)
	key := claim.KeyOf("press", "a")
	is.Equal(hex.EncodeToString(key[:]), "7e7ea0b6016df70fd701cf4e14ba5456129bd4cbd2d795b21768106c5594fa99")
	is.Equal(key.Shard(), share.Shard(2027))
}
