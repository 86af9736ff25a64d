package document_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/pkg/document"
)

func TestEncodeAndDecodeEachSection(t *testing.T) {
	is := is.New(t)
	want, got := validDocument(), document.Document{}
	for _, s := range document.Sections {
		content, err := document.Encode(want, s)
		is.NoErr(err)
		d, sections, err := document.Decode(content)
		is.NoErr(err)
		is.Equal(sections, []document.Section{s})
		got = document.Replace(got, s, d)
	}
	// A nil list of methods stays nil: it is encoded as null.
	is.Equal(got, want)
}

func TestSplitAndJoinAtFullSize(t *testing.T) {
	is := is.New(t)
	want, got := largeDocument(), document.Document{}
	for _, s := range document.Sections {
		parts, err := document.Split(want, s)
		is.NoErr(err)
		for _, p := range parts {
			is.True(len(p) <= document.MaximumPartBytes)
		}
		got, err = document.Join(got, s, parts)
		is.NoErr(err)
	}
	is.Equal(len(document.Validate(got)), 0)
	is.Equal(got, want)
}

// This test guards against an edit at the front of a section that changes most of
// its parts, which all instances would then have to fetch.
func TestEditChangesFewParts(t *testing.T) {
	tests := []struct {
		name string
		edit func(d *document.Document)
	}{
		{"add", func(d *document.Document) {
			d.Organisations = slices.Insert(d.Organisations, 0, document.Organisation{
				Name: "new",
			})
		}},
		{"change", func(d *document.Document) { d.Organisations[0].KeyDigests = nil }},
		{"remove", func(d *document.Document) { d.Organisations = d.Organisations[1:] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := largeDocument()
			before, err := document.Split(d, document.Organisations)
			is.NoErr(err)
			tt.edit(&d)
			after, err := document.Split(d, document.Organisations)
			is.NoErr(err)
			is.True(len(after) > 10) // enough parts for the test to mean anything
			changed := 0
			for _, p := range after {
				if !slices.ContainsFunc(before, func(o []byte) bool { return bytes.Equal(o, p) }) {
					changed++
				}
			}
			is.True(changed >= 1 && changed <= 3) // parts that instances have to fetch
		})
	}
}

// The hash of these entries is no cut point, and all of them are equal, so only the
// size limit ends a part.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	var d document.Document
	for range 50_000 {
		d.Rates = append(d.Rates, validDocument().Rates[0])
	}
	parts, err := document.Split(d, document.Rates)
	is.NoErr(err)
	for _, p := range parts {
		is.True(len(p) <= document.MaximumPartBytes)
	}
	_, err = document.Split(document.Document{
		Organisations: []document.Organisation{{
			Name:       "a",
			KeyDigests: make([]document.KeyDigest, 20_000),
		}},
	}, document.Organisations)
	is.True(errors.Is(err, document.ErrEntryTooLarge)) // one entry that fits in no part
}

func TestJoinRejectsInvalidParts(t *testing.T) {
	is := is.New(t)
	rates, err := document.Split(validDocument(), document.Rates)
	is.NoErr(err)
	_, err = document.Join(document.Document{}, document.Organisations, rates)
	is.True(errors.Is(err, document.ErrMalformed)) // a part of another section
	_, err = document.Join(document.Document{}, document.Rates, [][]byte{rates[0][:10]})
	is.True(errors.Is(err, document.ErrMalformed)) // a truncated part
}

func TestAssemble(t *testing.T) {
	is := is.New(t)
	want := validDocument()
	want.Revision = 7
	want.Policy.Floor = 33
	parts := map[document.Section][][]byte{}
	for _, s := range document.Sections {
		var err error
		parts[s], err = document.Split(want, s)
		is.NoErr(err)
	}
	got, err := document.Assemble(7, parts)
	is.NoErr(err)
	is.Equal(got, want)
	delete(parts, document.PolicySection)
	got, err = document.Assemble(7, parts)
	is.NoErr(err)
	is.Equal(got.Policy, document.DefaultPolicy()) // not written yet
	parts["Keys"] = parts[document.Rates]
	_, err = document.Assemble(7, parts)
	is.True(errors.Is(err, document.ErrUnknownSection))
}

func TestSplitOfAnEmptySectionIsOnePart(t *testing.T) {
	is := is.New(t)
	parts, err := document.Split(document.Document{}, document.Rates)
	is.NoErr(err)
	is.Equal(parts, [][]byte{[]byte(`{"Rates":[]}`)})
	_, err = document.Split(document.Document{}, "Keys")
	is.True(errors.Is(err, document.ErrUnknownSection))
}

func FuzzDecode(f *testing.F) {
	for _, s := range document.Sections {
		content, err := document.Encode(validDocument(), s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte(`{"Routes":[{"Key":{"Place":"Query"}}],"Rates":[{"PerSecond":1e300}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		d, sections, err := document.Decode(content)
		if err != nil {
			return
		}
		document.Validate(d)
		again := document.Document{}
		for _, s := range sections {
			parts, err := document.Split(d, s)
			if err != nil {
				t.Fatal(err)
			}
			if again, err = document.Join(again, s, parts); err != nil {
				t.Fatal(err) // parts that Split returned must be readable
			}
			first, err := document.Encode(d, s)
			if err != nil {
				t.Fatal(err)
			}
			second, err := document.Encode(again, s)
			if err != nil || !bytes.Equal(first, second) {
				t.Fatal("a section changed when it was split and joined", err)
			}
		}
	})
}

func FuzzJoin(f *testing.F) {
	f.Add([]byte(`{"Rates":[{"Organisation":"a","PerSecond":1,"Burst":1}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		d, err := document.Join(document.Document{}, document.Rates, [][]byte{content, content})
		if err == nil && len(d.Rates)%2 != 0 {
			t.Fatal("not all parts were joined")
		}
	})
}
