// Package list is a client for the platform's instance list: a document, served
// over HTTP, that contains the live and the leaving instances. The list may lag
// behind the fleet by several seconds.
//
// The format is JSON with Pascal-case names:
//
//	{"Instances": [{
//		"Address": "10.0.0.1:7000",
//		"EntryAddress": "10.0.0.1:8080",
//		"Zone": "a",
//		"Region": "r",
//		"Incarnation": 17,
//		"State": "live"
//	}]}
//
// # Usage
//
//	client, err := list.New("http://10.0.0.9:2400/instances")
//	entries, err := client.Entries(ctx)
package list
