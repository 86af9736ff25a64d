package revision_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/revision"
)

// These tests fail if a name in a stored or sent form changes: an instance
// could no longer read what another version wrote.

func TestHeadFieldNamesAreFixed(t *testing.T) {
	is := is.New(t)
	const stored = `{"Number":7,"Sections":[` +
		`{"Section":"Organisations","Revision":7,"Parts":["ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb","3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d"]},` +
		`{"Section":"Policy","Revision":3,"Parts":[]}],` +
		`"Nonce":"d3JpdGVy"}`
	want := revision.Head{
		Number: 7,
		Sections: []revision.SectionHead{
			{
				Section:  "Organisations",
				Revision: 7,
				Parts:    []revision.Digest{revision.DigestOf([]byte("a")), revision.DigestOf([]byte("b"))},
			},
			{
				Section:  "Policy",
				Revision: 3,
			},
		},
		Nonce: []byte("writer"),
	}
	content, err := revision.EncodeHead(want)
	is.NoErr(err)
	is.Equal(string(content), stored)
	got, err := revision.DecodeHead([]byte(stored))
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(revision.NoticeOf(7, []byte("a")).Check, uint64(0xca978112ca1bbdca))
}

func TestStoreKeysAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(revision.HeadKey, "document/head")
	is.Equal(revision.PartPrefix, "document/part/")
	is.Equal(revision.PartKey(revision.DigestOf([]byte("a"))), "document/part/ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb")
}

func TestDecisionKindTextsAreFixed(t *testing.T) {
	tests := []struct {
		kind   revision.DecisionKind
		number int
		want   string
	}{
		{revision.Learned, 0, "learned"},
		{revision.Complete, 1, "complete"},
		{revision.InForce, 2, "in-force"},
		{revision.Unfit, 3, "unfit"},
		{revision.Lower, 4, "lower"},
		{revision.Forked, 5, "forked"},
		{revision.Corrupt, 6, "corrupt"},
		{revision.Abandoned, 7, "abandoned"},
		{revision.Watching, 8, "watching"},
		{revision.Unwatching, 9, "unwatching"},
		{revision.LastResort, 10, "last-resort"},
		{revision.DecisionKind(-1), -1, "unknown"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(int(tt.kind), tt.number)
		is.Equal(tt.kind.String(), tt.want)
	}
}
