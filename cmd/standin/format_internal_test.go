package main

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// This test fails if a name in the line that reports that a server is ready
// changes: the program that started the server could no longer read its
// addresses.
func TestReadyHasFixedNames(t *testing.T) {
	is := is.New(t)
	content, err := json.Marshal(ready{
		Kind:         "targets",
		Address:      "10.0.0.1:1",
		AdminAddress: "10.0.0.1:2",
		Targets: []readyTarget{{
			Name:    "desk-a",
			Address: "10.0.1.1:80",
		}},
	})
	is.NoErr(err)
	is.Equal(string(content), `{"Kind":"targets","Address":"10.0.0.1:1","AdminAddress":"10.0.0.1:2","Targets":[{"Name":"desk-a","Address":"10.0.1.1:80"}]}`)
	content, err = json.Marshal(ready{})
	is.NoErr(err)
	is.Equal(string(content), `{"Kind":""}`)
}
