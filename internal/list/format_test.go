package list_test

import (
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/list"
	"dandelionmux/pkg/instance"
)

// This test fails if a name or text in the list's format changes: an instance
// could no longer read what another version wrote.
func TestListIsSentUnderFixedNames(t *testing.T) {
	is := is.New(t)
	const (
		live    = `{"Address":"10.0.0.1:7000","EntryAddress":"10.0.0.1:8080","Zone":"a","Region":"west","Incarnation":3,"State":"live"}`
		leaving = `{"Address":"10.0.0.2:7000","EntryAddress":"10.0.0.2:8080","Zone":"b","Region":"east","Incarnation":4,"State":"leaving"}`
		sent    = `{"Instances":[` + live + `,` + leaving + `]}`
	)
	want := []list.Entry{
		{
			Info: instance.Info{
				ID: instance.ID{
					Address:     "10.0.0.1:7000",
					Incarnation: 3,
				},
				Zone:   "a",
				Region: "west",
			},
			EntryAddress: "10.0.0.1:8080",
		},
		{
			Info: instance.Info{
				ID: instance.ID{
					Address:     "10.0.0.2:7000",
					Incarnation: 4,
				},
				Zone:    "b",
				Region:  "east",
				Leaving: true,
			},
			EntryAddress: "10.0.0.2:8080",
		},
	}
	content, err := list.Encode(want)
	is.NoErr(err)
	is.Equal(string(content), sent)
	got, odd, err := list.Decode([]byte(sent))
	is.NoErr(err)
	is.Equal(len(odd), 0)
	is.Equal(got, want)
	content, err = list.EncodeEntry(want[1])
	is.NoErr(err)
	is.Equal(string(content), leaving)
	one, err := list.DecodeEntry([]byte(leaving))
	is.NoErr(err)
	is.Equal(one, want[1])
}
