package list_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/list"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
)

func TestRegisterReadRemove(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.NewList())
	defer server.Close()
	c, err := list.New(server.URL)
	is.NoErr(err)
	defer c.Close()
	want := list.Entry{
		Info: instance.Info{
			ID: instance.ID{
				Address:     "10.0.0.1:7000",
				Incarnation: 1 << 63,
			},
			Zone:    "a",
			Region:  "r",
			Leaving: true,
		},
		EntryAddress: "10.0.0.1:8080",
	}
	is.NoErr(c.Register(t.Context(), want))
	got, odd, err := c.Entries(t.Context())
	is.NoErr(err)
	is.Equal(len(odd), 0)
	is.Equal(got, []list.Entry{want})
	is.NoErr(c.Remove(t.Context(), want.Address))
	got, _, err = c.Entries(t.Context())
	is.NoErr(err)
	is.Equal(len(got), 0)
}

func TestEntriesFails(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"connection broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, list.ErrUnavailable},
		{"error status", http.NotFound, list.ErrUnavailable},
		{"hanging", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, list.ErrUnavailable},
		{"garbage", answer(`<html>`), list.ErrMalformed},
		{"no list", answer(`{"Instances":{}}`), list.ErrMalformed},
		{"nested deeper than the decoder allows", answer(`{"Instances":[` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `]}`), list.ErrMalformed},
		{"too many bytes", answer(strings.Repeat(" ", 5<<20)), list.ErrMalformed},
		{"too many entries", answer(`{"Instances":[` + strings.Repeat(`{"Address":"a","State":"live"},`, 10_000) + `{"Address":"a","State":"live"}]}`), list.ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			timeout := time.Minute
			if tt.name == "hanging" {
				timeout = 100 * time.Millisecond
			}
			c, err := list.New(server.URL, list.Timeout(timeout))
			is.NoErr(err)
			defer c.Close()
			_, _, err = c.Entries(t.Context())
			is.True(errors.Is(err, tt.want))
		})
	}
}

// Guards against an odd entry of another writer after which the list isn't followed any more:
// it is left out and told, and the entries before and after it count.
func TestOddEntriesAreLeftOut(t *testing.T) {
	tests := []struct {
		name  string
		entry string
	}{
		{"no address", `{"State":"live"}`},
		{"unknown state", `{"Address":"10.0.0.9:7000","State":"dead"}`},
		{"port 0", `{"Address":"10.0.0.9:0","State":"live"}`},
		{"negative port", `{"Address":"10.0.0.9:-1","State":"live"}`},
		{"port 65536", `{"Address":"10.0.0.9:65536","State":"live"}`},
		{"name as host", `{"Address":"localhost:7000","State":"live"}`},
		{"unspecified host", `{"Address":"0.0.0.0:7000","State":"live"}`},
		{"number too large", `{"Address":"10.0.0.9:7000","State":"live","Incarnation":1e999}`},
		{"negative number", `{"Address":"10.0.0.9:7000","State":"live","Incarnation":-1}`},
		{"other type", `[1,2]`},
		{"deeply nested", strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)},
		{"deeply nested field", `{"Address":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`},
		{"null", `null`},
	}
	const first, last = `{"Address":"10.0.0.1:7000","State":"live"}`, `{"Address":"10.0.0.2:7000","State":"live"}`
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			entries, odd, err := list.Decode([]byte(`{"Instances":[` + first + `,` + tt.entry + `,` + last + `]}`))
			is.NoErr(err)
			is.Equal(len(odd), 1)
			is.True(errors.Is(odd[0], list.ErrMalformed))
			is.True(len(odd[0].Error()) < 500) // of a log line
			is.Equal(len(entries), 2)
			is.Equal(string(entries[1].Address), "10.0.0.2:7000")
		})
	}
}

func answer(content string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, content) }
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Instances":[{"Address":"10.0.0.1:7000","State":"live","Incarnation":3}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		entries, _, err := list.Decode(content)
		if err != nil {
			return
		}
		once, err := list.Encode(entries)
		if err != nil {
			t.Fatal(err)
		}
		again, odd, err := list.Decode(once)
		if err != nil || len(odd) > 0 || fmt.Sprint(again) != fmt.Sprint(entries) {
			t.Fatal("encoding and decoding changed the entries", err)
		}
	})
}
