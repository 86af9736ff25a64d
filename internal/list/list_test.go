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
	got, err := c.Entries(t.Context())
	is.NoErr(err)
	is.Equal(got, []list.Entry{want})
	is.NoErr(c.Remove(t.Context(), want.Address))
	got, err = c.Entries(t.Context())
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
		{"no address", answer(`{"Instances":[{"State":"live"}]}`), list.ErrMalformed},
		{"unknown state", answer(`{"Instances":[{"Address":"a","State":"dead"}]}`), list.ErrMalformed},
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
			_, err = c.Entries(t.Context())
			is.True(errors.Is(err, tt.want))
		})
	}
}

func answer(content string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, content) }
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Instances":[{"Address":"a","State":"live","Incarnation":3}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		entries, err := list.Decode(content)
		if err != nil {
			return
		}
		once, err := list.Encode(entries)
		if err != nil {
			t.Fatal(err)
		}
		again, err := list.Decode(once)
		if err != nil || fmt.Sprint(again) != fmt.Sprint(entries) {
			t.Fatal("encoding and decoding changed the entries", err)
		}
	})
}
