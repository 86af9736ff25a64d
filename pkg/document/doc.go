// Package document defines the configuration that operators write: one document
// of several sections that different teams own, its validation, its encodings,
// and an index for lookups while requests are served.
//
// A Document is plain data. Its sections are Organisations (with the digests of
// their keys), Rates, Routes, Services (with their targets) and Policy. Entries
// refer to each other by name. Validate reports all broken references and values
// out of range at once, each with its section, entry and field. A document never
// contains keys, only their digests.
//
// Operators write JSON whose fields are named as those of the types here. The JSON has
// no fields for Organisation.Priority and Route.Split, Attempts, Priority and Objective:
// only code that builds a Document sets them, as package platform does. Validate requires
// Route.Service even if Split is set.
// Durations are text such as "2s", key digests are hexadecimal. A file holds one
// or more sections:
//
//	{
//		"Rates": [
//			{"Organisation": "rewa", "PerSecond": 50, "Burst": 100}
//		]
//	}
//
// Unknown fields are rejected. In the store a section is split into parts, since
// a value of the store holds at most a megabyte, and since an edit should change
// little of what instances have to fetch. The split is content-defined: where one
// part ends depends only on the entries near that place, so that an entry added
// at the front leaves later parts unchanged.
//
// An Index is built once for each revision and is immutable. It finds an
// organisation by the digest of a key, a route by host, path and method, and rates
// and services by name. Its lookups do not allocate.
//
// # Usage
//
//	d, sections, err := document.Decode(content)
//	problems := document.Validate(d)
//	for _, p := range problems {
//		fmt.Println(p)
//	}
//	x := document.NewIndex(d)
//	organisation, ok := x.Organisation(document.DigestKey(key))
//	route := x.Match("shop.example", "/orders/17", "POST")
package document
