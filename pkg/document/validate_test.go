package document_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/pkg/document"
)

// validDocument returns a small valid document. Each test case makes one value
// invalid.
func validDocument() document.Document {
	return document.Document{
		Organisations: []document.Organisation{
			{
				Name:       "rewa",
				KeyDigests: []document.KeyDigest{document.DigestKey("one")},
			},
			{
				Name:       "mehta",
				KeyDigests: []document.KeyDigest{document.DigestKey("two"), document.DigestKey("three")},
			},
		},
		Rates: []document.Rate{{
			Organisation: "rewa",
			PerSecond:    0.5,
			Burst:        1,
		}},
		Routes: []document.Route{
			{
				Name:       "bookings",
				PathPrefix: "/bookings",
				Methods:    []string{"POST", "GET"},
				Service:    "dispatch",
				Timeout:    2 * time.Second,
			},
			{
				Name:       "info",
				Host:       "info.example",
				PathPrefix: "/",
				Service:    "dispatch",
				Open:       true,
				Repeatable: document.Always,
				Timeout:    time.Second,
				Key: document.KeyLocation{
					Place: document.InCookie,
					Name:  "key",
				},
			},
		},
		Services: []document.Service{{
			Name: "dispatch",
			Targets: []document.Target{
				{
					Name:        "d1",
					Address:     "10.0.0.1:80",
					Zone:        "a",
					Slots:       6,
					Connections: 350,
				},
				{
					Name:        "d2",
					Address:     "[fd00::1]:80",
					Zone:        "b",
					Slots:       6,
					Connections: 350,
					Leaving:     true,
				},
			},
		}},
		Policy: document.DefaultPolicy(),
	}
}

func TestValidateNamesSectionEntryAndField(t *testing.T) {
	tests := []struct {
		change func(d *document.Document)
		want   string
	}{
		{func(d *document.Document) { d.Organisations[0].Name = "" }, `Organisations "#1" Name: it is missing`},
		{func(d *document.Document) { d.Organisations[1].Name = "rewa" }, `Organisations "rewa" Name: "rewa" appears twice`},
		{func(d *document.Document) { d.Organisations[1].Name = "a b" }, `Organisations "a b" Name: "a b" has characters other than`},
		{func(d *document.Document) { d.Organisations[1].Name = strings.Repeat("a", 129) }, `Name: 129 bytes exceed the limit of 128`},
		{func(d *document.Document) { d.Organisations[1].KeyDigests[1] = document.DigestKey("one") }, `Organisations "mehta" KeyDigests: 7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed is also a key of organisation "rewa"`},
		{func(d *document.Document) { d.Organisations[1].KeyDigests[1] = document.DigestKey("two") }, `appears twice`},
		{func(d *document.Document) { d.Organisations[0].KeyDigests = make([]document.KeyDigest, 101) }, `Organisations "rewa" KeyDigests: 101 keys exceed the limit of 100`},
		{func(d *document.Document) { d.Organisations = make([]document.Organisation, 100_001) }, `Organisations: 100001 organisations exceed the limit of 100000`},
		{func(d *document.Document) { d.Rates[0].Organisation = "reva" }, `Rates "reva" Organisation: no organisation is named "reva" in section Organisations`},
		{func(d *document.Document) { d.Rates = append(d.Rates, d.Rates[0]) }, `Rates "rewa" Organisation: the organisation already has another rate`},
		{func(d *document.Document) { d.Rates[0].PerSecond = 0 }, `Rates "rewa" PerSecond: 0 is not above 0 and at most 1000000`},
		{func(d *document.Document) { d.Rates[0].PerSecond = -1 }, `Rates "rewa" PerSecond: -1 is not above 0`},
		{func(d *document.Document) { d.Rates[0].Burst = 0 }, `Rates "rewa" Burst: 0 is not within 1 to 10000000`},
		{func(d *document.Document) { d.Routes[0].Service = "dispach" }, `Routes "bookings" Service: no service is named "dispach" in section Services`},
		{func(d *document.Document) { d.Routes[0].Name = "info" }, `Routes "info" Name: "info" appears twice`},
		{func(d *document.Document) { d.Routes[0].PathPrefix = "bookings" }, `Routes "bookings" PathPrefix: "bookings" doesn't begin with a slash`},
		{func(d *document.Document) { d.Routes[0].PathPrefix = "/bookings/" }, `PathPrefix: "/bookings/" ends with a slash`},
		{func(d *document.Document) { d.Routes[0].PathPrefix = "/a/../b" }, `PathPrefix: "/a/../b" is not a plain path`},
		{func(d *document.Document) { d.Routes[0].PathPrefix = "/a%2fb" }, `PathPrefix: "/a%2fb" is not a plain path`},
		{func(d *document.Document) { d.Routes[0].PathPrefix = strings.Repeat("/a", 33) }, `PathPrefix: 33 elements exceed the limit of 32`},
		{func(d *document.Document) { d.Routes[0].PathPrefix = "/" + strings.Repeat("a", 512) }, `PathPrefix: 513 bytes exceed the limit of 512`},
		{func(d *document.Document) { d.Routes[1].Host = "Info.example" }, `Routes "info" Host: "Info.example" is not a name in lower case`},
		{func(d *document.Document) { d.Routes[1].Host = "info.example:80" }, `Host: "info.example:80" is not a name in lower case, without port`},
		{func(d *document.Document) { d.Routes[1].Host = strings.Repeat("a", 254) }, `Host: 254 bytes exceed the limit of 253`},
		{func(d *document.Document) { d.Routes[0].Methods = []string{"post"} }, `Routes "bookings" Methods: "post" is not a method in capital letters`},
		{func(d *document.Document) { d.Routes[0].Methods = []string{"CONNECT"} }, `Methods: CONNECT is never forwarded`},
		{func(d *document.Document) { d.Routes[0].Methods = []string{"GET", "GET"} }, `Methods: GET appears twice`},
		{func(d *document.Document) { d.Routes[0].Methods = make([]string, 17) }, `Methods: 17 methods exceed the limit of 16`},
		{func(d *document.Document) {
			d.Routes[1] = d.Routes[0]
			d.Routes[1].Name = "other"
		}, `Routes "other" PathPrefix: route "bookings" has the same host, path and method`},
		{func(d *document.Document) { d.Routes[0].Timeout = 0 }, `Routes "bookings" Timeout: 0s is not within 1ms to 1h0m0s`},
		{func(d *document.Document) { d.Routes[0].Cost = -1 }, `Routes "bookings" Cost: -1 is not within 0 to 1000000`},
		{func(d *document.Document) { d.Routes[0].Repeatable = 3 }, `Routes "bookings" Repeatable: 3 is none of [ByMethod Always Never]`},
		{func(d *document.Document) { d.Routes[0].Key.Place = -1 }, `Routes "bookings" Key.Place: -1 is none of [Header Query Cookie Bearer]`},
		{func(d *document.Document) { d.Routes[0].Key.Place = document.InQuery }, `Routes "bookings" Key.Name: it is missing`},
		{func(d *document.Document) { d.Routes[0].Key.Name = "Host" }, `Key.Name: the header Host is reserved by HTTP or by the proxy and can't carry a key`},
		{func(d *document.Document) { d.Routes[0].Key.Name = "Dandelionmux-Request" }, `Key.Name: the header Dandelionmux-Request is reserved by HTTP or by the proxy and can't carry a key`},
		{func(d *document.Document) { d.Routes[0].Key.Name = "a:b" }, `Key.Name: "a:b" is not a name`},
		{func(d *document.Document) { d.Routes[1].Key.Place = document.InBearer }, `Routes "info" Key.Name: "key": a bearer key has no name`},
		{func(d *document.Document) { d.Services[0].Floor = 101 }, `Services "dispatch" Floor: 101 is not within 0 to 100`},
		{func(d *document.Document) { d.Services = append(d.Services, d.Services[0]) }, `Services "dispatch" Name: "dispatch" appears twice`},
		{func(d *document.Document) { d.Services[0].Targets[0].Name = "d2" }, `Services "dispatch/d2" Name: "d2" appears twice`},
		{func(d *document.Document) { d.Services[0].Targets[0].Address = "host:80" }, `Services "dispatch/d1" Address: "host:80" is not an IP address and port`},
		{func(d *document.Document) { d.Services[0].Targets[0].Address = "10.0.0.1:0" }, `Address: "10.0.0.1:0" is not an IP address and port`},
		{func(d *document.Document) { d.Services[0].Targets[1].Address = "10.0.0.1:80" }, `Services "dispatch/d2" Address: 10.0.0.1:80 is also the address of "dispatch/d1"`},
		{func(d *document.Document) { d.Services[0].Targets[0].Zone = "" }, `Services "dispatch/d1" Zone: it is missing`},
		{func(d *document.Document) { d.Services[0].Targets[0].Slots = 0 }, `Services "dispatch/d1" Slots: 0 is not within 1 to 10000`},
		{func(d *document.Document) { d.Services[0].Targets[0].Connections = 0 }, `Services "dispatch/d1" Connections: 0 is not within 1 to 100000`},
		{func(d *document.Document) { d.Policy.Floor = 0 }, `Policy Floor: 0 is not within 1 to 100`},
		{func(d *document.Document) { d.Policy.RetryPercent = 101 }, `Policy RetryPercent: 101 is not within 0 to 100`},
		{func(d *document.Document) { d.Policy.QueueLength = -1 }, `Policy QueueLength: -1 is not within 0 to 100000`},
		{func(d *document.Document) { d.Policy.QueueWait = -1 }, `Policy QueueWait: -1ns is not within 0s to 1m0s`},
		{func(d *document.Document) { d.Policy.StrikeTerm = 0 }, `Policy StrikeTerm: 0s is not within 1s to 24h0m0s`},
		{func(d *document.Document) { d.Policy.MaximumBody = 0 }, `Policy MaximumBody: 0 is not within 1 to 1073741824`},
	}
	is := is.New(t)
	is.Equal(len(document.Validate(validDocument())), 0) // the unchanged document is valid
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			is := is.New(t)
			d := validDocument()
			tt.change(&d)
			text := document.Problems(document.Validate(d)).Error()
			is.True(strings.Contains(text, tt.want)) // the message
			if !strings.Contains(text, tt.want) {
				t.Log(text)
			}
		})
	}
}

func TestValidateReportsAllAtOnce(t *testing.T) {
	is := is.New(t)
	d := validDocument()
	d.Organisations[0].Name = ""
	d.Rates[0].Burst = 0
	d.Routes[0].Service = "x"
	d.Services[0].Targets[0].Slots = 0
	d.Policy.Floor = 0
	sections := map[document.Section]int{}
	for _, p := range document.Validate(d) {
		sections[p.Section]++
	}
	is.Equal(sections, map[document.Section]int{
		document.Organisations: 1,
		document.Rates:         2, // the burst, and the reference to the organisation without a name
		document.Routes:        1,
		document.Services:      1,
		document.PolicySection: 1,
	})
}

func TestDecodeRejects(t *testing.T) {
	tests := []struct {
		name, content, want string
	}{
		{"empty", ``, `EOF`},
		{"nothing", `{}`, `it holds none of Organisations, Rates, Routes, Services, Policy`},
		{"syntax", "{\n\"Rates\": [}", `line 2: invalid character`},
		{"unknown field", `{"Rates":[{"Organisation":"a","Rate":1}]}`, `unknown field "Rate"`},
		{"unknown section", `{"Keys":[]}`, `unknown field "Keys"`},
		{"kind", `{"Rates":[{"Burst":"1"}]}`, `line 1: field Rates.Burst can't be a string`},
		{"fraction", `{"Rates":[{"Burst":1.5}]}`, `field Rates.Burst can't be a number 1.5`},
		{"trailing", `{"Rates":[]} {}`, `content after the end`},
		{"section twice", "{\"Rates\":[],\n\"Rates\":[]}", `line 2: "Rates" appears twice`},
		{"field twice", `{"Rates":[{"Burst":1,"burst":2}]}`, `"burst" appears twice`},
		{"digest", `{"Organisations":[{"Name":"a","KeyDigests":["ab"]}]}`, `Organisations "a" KeyDigests: "ab" is not a SHA-256 digest`},
		{"duration", `{"Routes":[{"Name":"r","Timeout":"2"}]}`, `Routes "r" Timeout: "2" is not a duration`},
		{"repeatable", `{"Routes":[{"Name":"r","Repeatable":"yes"}]}`, `Routes "r" Repeatable: "yes" is none of [ByMethod Always Never]`},
		{"place", `{"Routes":[{"Key":{"Place":"Body"}}]}`, `Routes "#1" Key.Place: "Body" is none of`},
		{"all at once", `{"Policy":{"QueueWait":"x","StrikeTerm":"y"}}`, "Policy QueueWait: \"x\" is not a duration such as \"2s\" or \"150ms\"\nPolicy StrikeTerm"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := document.Decode([]byte(tt.content))
			is.True(err != nil) // refused
			var problems document.Problems
			is.True(errors.Is(err, document.ErrMalformed) || errors.As(err, &problems)) // the kind of the error
			is.True(strings.Contains(err.Error(), tt.want))
			if !strings.Contains(err.Error(), tt.want) {
				t.Log(err)
			}
		})
	}
}

// largeDocument returns a valid document of the size that the fleet is designed for.
func largeDocument() document.Document {
	const (
		organisations = 19_000
		routes        = 5_500
		services      = 300
		targets       = 19
	)
	d := document.Document{
		Policy: document.DefaultPolicy(),
	}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		d.Organisations = append(d.Organisations, document.Organisation{
			Name:       name,
			KeyDigests: []document.KeyDigest{document.DigestKey(name)},
		})
		d.Rates = append(d.Rates, document.Rate{
			Organisation: name,
			PerSecond:    5,
			Burst:        10,
		})
	}
	for i := range services {
		s := document.Service{
			Name: fmt.Sprintf("service-%d", i),
		}
		for j := range targets {
			s.Targets = append(s.Targets, document.Target{
				Name:        fmt.Sprintf("target-%d", j),
				Address:     fmt.Sprintf("10.%d.%d.%d:80", i/250, i%250, j+1),
				Zone:        "a",
				Slots:       6,
				Connections: 340,
			})
		}
		d.Services = append(d.Services, s)
	}
	for i := range routes {
		d.Routes = append(d.Routes, document.Route{
			Name:       fmt.Sprintf("route-%d", i),
			Host:       fmt.Sprintf("shop-%d.example", i%40),
			PathPrefix: fmt.Sprintf("/v1/area-%d/item-%d", i%200, i),
			Service:    fmt.Sprintf("service-%d", i%services),
			Timeout:    2 * time.Second,
		})
	}
	return d
}

func BenchmarkValidate(b *testing.B) {
	d := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		if len(document.Validate(d)) > 0 {
			b.Fatal("the document is not valid")
		}
	}
}
