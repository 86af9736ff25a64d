package revision_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/pkg/revision"
)

func TestHeadRoundTrip(t *testing.T) {
	is := is.New(t)
	a, b := revision.DigestOf([]byte("a")), revision.DigestOf([]byte("b"))
	want := revision.Head{
		Number: 7,
		Sections: []revision.SectionHead{
			{
				Section:  "Organisations",
				Revision: 7,
				Parts:    []revision.Digest{a, b},
			},
			{
				Section:  "Rates",
				Revision: 3,
				Parts:    []revision.Digest{b},
			},
		},
		Nonce: []byte("writer"),
	}
	content, err := revision.EncodeHead(want)
	is.NoErr(err)
	got, err := revision.DecodeHead(content)
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(got.Digests(), []revision.Digest{a, b})
	is.Equal(revision.PartKey(a), "document/part/"+a.String())
}

func TestDecodeHeadRejects(t *testing.T) {
	digest := revision.DigestOf(nil).String()
	parts := `"` + strings.Repeat(digest+`","`, revision.MaximumParts) + digest + `"`
	sections := strings.TrimSuffix(strings.Repeat(`{"Section":"A"},`, revision.MaximumSections+1), ",")
	tests := []struct {
		name, content string
		want          error
	}{
		{
			name:    "empty",
			content: ``,
			want:    revision.ErrMalformed,
		},
		{
			name:    "number zero",
			content: `{"Number":0}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "negative number",
			content: `{"Number":-1}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "content after head",
			content: `{"Number":1}{}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "unknown field",
			content: `{"Number":1,"Extra":2}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "short digest",
			content: `{"Number":1,"Sections":[{"Section":"A","Parts":["ab"]}]}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "nonce not in base64",
			content: `{"Number":1,"Nonce":"*"}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "section newer than head",
			content: `{"Number":1,"Sections":[{"Section":"A","Revision":2}]}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "section without name",
			content: `{"Number":1,"Sections":[{"Section":""}]}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "section twice",
			content: `{"Number":1,"Sections":[{"Section":"A"},{"Section":"A"}]}`,
			want:    revision.ErrMalformed,
		},
		{
			name:    "too many sections",
			content: `{"Number":1,"Sections":[` + sections + `]}`,
			want:    revision.ErrBounds,
		},
		{
			name:    "too many parts",
			content: `{"Number":1,"Sections":[{"Section":"A","Parts":[` + parts + `]}]}`,
			want:    revision.ErrBounds,
		},
		{
			name:    "too large",
			content: `{"Number":1}` + strings.Repeat(" ", revision.MaximumHeadBytes),
			want:    revision.ErrBounds,
		},
		{
			name:    "section name too long",
			content: `{"Number":1,"Sections":[{"Section":"` + strings.Repeat("a", 65) + `"}]}`,
			want:    revision.ErrBounds,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := revision.DecodeHead([]byte(tt.content))
			is.True(errors.Is(err, tt.want)) // the error wraps the expected one
		})
	}
}

func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"Number":1,"Sections":[{"Section":"A","Revision":1,"Parts":[]}],"Nonce":"AA=="}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		h, err := revision.DecodeHead(content)
		if err != nil {
			return
		}
		once, err := revision.EncodeHead(h)
		if err != nil {
			t.Fatal(err) // a decoded head can be encoded
		}
		again, err := revision.DecodeHead(once)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := revision.EncodeHead(again)
		if err != nil || !bytes.Equal(once, twice) {
			t.Fatal("encoding is not stable", err)
		}
	})
}
