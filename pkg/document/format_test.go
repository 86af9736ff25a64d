package document_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
)

// These tests fail if a name or text of the stored document changes: an
// instance or operator's tool could no longer read what another version wrote,
// and the digests of unchanged parts would change.

// stored is a section in its two encodings.
type stored struct {
	section document.Section
	// indented is what operators see, part is what the store holds.
	indented, part string
	// digest is the SHA-256 digest of the part. It is stored in the head and is
	// part of the key under which the part is stored.
	digest string
}

// fixed returns a document in which each field of the stored encoding is set.
func fixed() document.Document {
	return document.Document{
		Organisations: []document.Organisation{{
			Name:       "press",
			KeyDigests: []document.KeyDigest{document.DigestKey("a")},
		}},
		Rates: []document.Rate{{
			Organisation: "press",
			PerSecond:    2.5,
			Burst:        7,
		}},
		Routes: []document.Route{{
			Name:       "orders",
			Host:       "mill.example",
			PathPrefix: "/orders",
			Methods:    []string{"GET", "POST"},
			Service:    "desk",
			Open:       true,
			Repeatable: document.Always,
			Timeout:    1500 * time.Millisecond,
			Cost:       3,
			Key: document.KeyLocation{
				Place: document.InQuery,
				Name:  "key",
			},
		}},
		Services: []document.Service{{
			Name:  "desk",
			Floor: 60,
			Targets: []document.Target{{
				Name:        "desk-a",
				Address:     "10.0.1.1:80",
				Zone:        "a",
				Slots:       4,
				Connections: 9,
				Leaving:     true,
			}},
		}},
		Policy: document.Policy{
			Floor:        70,
			RetryPercent: 10,
			QueueLength:  128,
			QueueWait:    time.Second,
			StrikeTerm:   10 * time.Minute,
			MaximumBody:  1024,
		},
	}
}

var fixedSections = []stored{
	{
		section: document.Organisations,
		indented: `{
  "Organisations": [
    {
      "Name": "press",
      "KeyDigests": [
        "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"
      ]
    }
  ]
}
`,
		part:   `{"Organisations":[{"Name":"press","KeyDigests":["ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"]}]}`,
		digest: "b29ad3ce441a577637520d04cdc1521ca0da74a98a8646e82541a7474f3b824e",
	},
	{
		section: document.Rates,
		indented: `{
  "Rates": [
    {
      "Organisation": "press",
      "PerSecond": 2.5,
      "Burst": 7
    }
  ]
}
`,
		part:   `{"Rates":[{"Organisation":"press","PerSecond":2.5,"Burst":7}]}`,
		digest: "de187a849e733d2bcc8d899a1e9f3eabc0676df728c910e92ce1fbb39764466b",
	},
	{
		section: document.Routes,
		indented: `{
  "Routes": [
    {
      "Name": "orders",
      "Host": "mill.example",
      "PathPrefix": "/orders",
      "Methods": [
        "GET",
        "POST"
      ],
      "Service": "desk",
      "Open": true,
      "Repeatable": "Always",
      "Timeout": "1.5s",
      "Cost": 3,
      "Key": {
        "Place": "Query",
        "Name": "key"
      }
    }
  ]
}
`,
		part: `{"Routes":[{"Name":"orders","Host":"mill.example","PathPrefix":"/orders","Methods":["GET","POST"],` +
			`"Service":"desk","Open":true,"Repeatable":"Always","Timeout":"1.5s","Cost":3,"Key":{"Place":"Query","Name":"key"}}]}`,
		digest: "9de4506665365695f18e22106a0f203b092ba26fc09af5c39d86ea31ed8d8966",
	},
	{
		section: document.Services,
		indented: `{
  "Services": [
    {
      "Name": "desk",
      "Floor": 60,
      "Targets": [
        {
          "Name": "desk-a",
          "Address": "10.0.1.1:80",
          "Zone": "a",
          "Slots": 4,
          "Connections": 9,
          "Leaving": true
        }
      ]
    }
  ]
}
`,
		part: `{"Services":[{"Name":"desk","Floor":60,"Targets":[` +
			`{"Name":"desk-a","Address":"10.0.1.1:80","Zone":"a","Slots":4,"Connections":9,"Leaving":true}]}]}`,
		digest: "91df1aa4012c6cb042ea3be35f7b122e8417f832c80ecffdcbbdf62a03c1bc2a",
	},
	{
		section: document.PolicySection,
		indented: `{
  "Policy": {
    "Floor": 70,
    "RetryPercent": 10,
    "QueueLength": 128,
    "QueueWait": "1s",
    "StrikeTerm": "10m0s",
    "MaximumBody": 1024
  }
}
`,
		part:   `{"Policy":{"Floor":70,"RetryPercent":10,"QueueLength":128,"QueueWait":"1s","StrikeTerm":"10m0s","MaximumBody":1024}}`,
		digest: "b58b6f423b1be3126b40a1ba9a63f14711c19ffe345f3ebe02e4e4c0145161b3",
	},
}

func TestSectionsAreStoredUnderFixedNames(t *testing.T) {
	for _, tt := range fixedSections {
		t.Run(string(tt.section), func(t *testing.T) {
			is := is.New(t)
			want := document.Replace(document.Document{}, tt.section, fixed())
			content, err := document.Encode(fixed(), tt.section)
			is.NoErr(err)
			is.Equal(string(content), tt.indented)
			got, sections, err := document.Decode([]byte(tt.indented))
			is.NoErr(err)
			is.Equal(sections, []document.Section{tt.section})
			is.Equal(got, want)
			parts, err := document.Split(fixed(), tt.section)
			is.NoErr(err)
			is.Equal(len(parts), 1)
			is.Equal(string(parts[0]), tt.part)
			digest := sha256.Sum256(parts[0])
			is.Equal(hex.EncodeToString(digest[:]), tt.digest)
			got, err = document.Join(document.Document{}, tt.section, [][]byte{[]byte(tt.part)})
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

func TestNamesOfSectionsAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(document.Sections, []document.Section{"Organisations", "Rates", "Routes", "Services", "Policy"})
}

func TestTextsOfEnumerationsAreFixed(t *testing.T) {
	tests := []struct {
		repeatable document.Repeatable
		place      document.KeyPlace
		want       string
	}{
		{
			repeatable: document.ByMethod,
			place:      document.InHeader,
			want:       `{"Routes":[{"Name":"","Host":"","PathPrefix":"","Methods":null,"Service":"","Open":false,"Repeatable":"ByMethod","Timeout":"0s","Cost":0,"Key":{"Place":"Header","Name":""}}]}`,
		},
		{
			repeatable: document.Always,
			place:      document.InQuery,
			want:       `{"Routes":[{"Name":"","Host":"","PathPrefix":"","Methods":null,"Service":"","Open":false,"Repeatable":"Always","Timeout":"0s","Cost":0,"Key":{"Place":"Query","Name":""}}]}`,
		},
		{
			repeatable: document.Never,
			place:      document.InCookie,
			want:       `{"Routes":[{"Name":"","Host":"","PathPrefix":"","Methods":null,"Service":"","Open":false,"Repeatable":"Never","Timeout":"0s","Cost":0,"Key":{"Place":"Cookie","Name":""}}]}`,
		},
		{
			repeatable: document.ByMethod,
			place:      document.InBearer,
			want:       `{"Routes":[{"Name":"","Host":"","PathPrefix":"","Methods":null,"Service":"","Open":false,"Repeatable":"ByMethod","Timeout":"0s","Cost":0,"Key":{"Place":"Bearer","Name":""}}]}`,
		},
	}
	for _, tt := range tests {
		is := is.New(t)
		want := document.Document{
			Routes: []document.Route{{
				Repeatable: tt.repeatable,
				Key: document.KeyLocation{
					Place: tt.place,
				},
			}},
		}
		parts, err := document.Split(want, document.Routes)
		is.NoErr(err)
		is.Equal(len(parts), 1)
		is.Equal(string(parts[0]), tt.want)
		got, _, err := document.Decode([]byte(tt.want))
		is.NoErr(err)
		is.Equal(got, want)
	}
}
