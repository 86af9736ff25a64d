package main

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Programs that start an instance read its addresses from the line that it prints
// once it listens. The names in this line must not change.
func TestReadyHasFixedNames(t *testing.T) {
	is := is.New(t)
	content, err := json.Marshal(ready{
		Kind:         "instance",
		EntryAddress: "10.0.0.1:8080",
		PeerAddress:  "10.0.0.1:7000",
		AdminAddress: "10.0.0.1:9000",
	})
	is.NoErr(err)
	is.Equal(string(content), `{"Kind":"instance","EntryAddress":"10.0.0.1:8080","PeerAddress":"10.0.0.1:7000","AdminAddress":"10.0.0.1:9000"}`)
}
