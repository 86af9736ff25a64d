package share_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/share"
)

// These tests fail if a name in a stored form changes: an instance could no
// longer read what another version wrote.

func TestRecordIsStoredUnderFixedNames(t *testing.T) {
	is := is.New(t)
	const stored = `{"Holder":"10.0.0.1:7000","Incarnation":3,"Sequence":4,"Lease":5}`
	r := share.Record{
		Holder:      "10.0.0.1:7000",
		Incarnation: 3,
		Sequence:    4,
		Lease:       5,
	}
	is.Equal(string(share.EncodeRecord(r)), stored)
	got, err := share.DecodeRecord([]byte(stored))
	is.NoErr(err)
	is.Equal(got, r)
	is.Equal(r.HolderKey(), "holder/10.0.0.1:7000/3/5")
}

func TestTotalsAreStoredUnderFixedNames(t *testing.T) {
	is := is.New(t)
	const stored = `{"Total":24}`
	want := share.Totals{
		Total: 24,
	}
	content, err := json.Marshal(want)
	is.NoErr(err)
	is.Equal(string(content), stored)
	var got share.Totals
	is.NoErr(json.Unmarshal([]byte(stored), &got))
	is.Equal(got, want)
}

func TestKeysOfSharesAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(share.RecordPrefix, "share/")
	is.Equal(share.RecordKey(7), "share/07")
	is.Equal(share.RecordKey(23), "share/23")
}

func TestTextsOfActionsAreFixed(t *testing.T) {
	tests := []struct {
		action share.Action
		want   string
	}{
		{share.Claimed, "claimed"},
		{share.Reclaimed, "reclaimed"},
		{share.Renewed, "renewed"},
		{share.Voided, "voided"},
		{share.Dropped, "dropped"},
		{share.HandedOver, "handed over"},
		{share.TakenOver, "taken over"},
		{share.LentShards, "lent shards"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(string(tt.action), tt.want)
	}
}
