package operator_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/operator"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

// These tests fail if a name in a stored or sent format changes: an operator's
// tool could no longer read what another version wrote, and scripts that read
// the tool's output would break.

// checkFormat checks that a value is encoded as the given text and decoded from it.
func checkFormat[T any](t *testing.T, value T, encoded string) {
	t.Helper()
	is := is.New(t)
	content, err := json.Marshal(value)
	is.NoErr(err)
	is.Equal(string(content), encoded)
	var got T
	is.NoErr(json.Unmarshal([]byte(encoded), &got))
	is.Equal(got, value)
}

func TestStatusIsSentUnderFixedNames(t *testing.T) {
	checkFormat(t, operator.Status{
		Address:        "10.0.0.1:7000",
		Incarnation:    3,
		Zone:           "a",
		Region:         "west",
		Version:        "v1",
		UptimeSeconds:  4.5,
		Revision:       5,
		Trusted:        true,
		Ready:          true,
		Leaving:        true,
		StoreReachable: true,
		Members: []operator.Member{{
			Address:     "10.0.0.2:7000",
			Incarnation: 6,
			Zone:        "b",
			Region:      "east",
			Leaving:     true,
			Revision:    7,
		}},
		Shares: []operator.Share{{
			Number:   8,
			Sequence: 9,
			Usable:   true,
		}},
		Shards: 10,
		Ejections: []operator.Ejection{{
			Service:   "desk",
			Target:    "desk-a",
			Reason:    "failing",
			Authority: "10.0.0.3:7000",
			Seconds:   11.5,
		}},
		Quarantines: []operator.Quarantine{{
			Fingerprint:  "0102",
			Organisation: "press",
			Route:        "orders",
			Strikes:      12,
			SecondsLeft:  13.5,
		}},
	}, `{"Address":"10.0.0.1:7000","Incarnation":3,"Zone":"a","Region":"west","Version":"v1","UptimeSeconds":4.5,"Revision":5,`+
		`"Trusted":true,"Ready":true,"Leaving":true,"StoreReachable":true,`+
		`"Members":[{"Address":"10.0.0.2:7000","Incarnation":6,"Zone":"b","Region":"east","Leaving":true,"Revision":7}],`+
		`"Shares":[{"Number":8,"Sequence":9,"Usable":true}],"Shards":10,`+
		`"Ejections":[{"Service":"desk","Target":"desk-a","Reason":"failing","Authority":"10.0.0.3:7000","Seconds":11.5}],`+
		`"Quarantines":[{"Fingerprint":"0102","Organisation":"press","Route":"orders","Strikes":12,"SecondsLeft":13.5}]}`)
	is := is.New(t)
	is.Equal(operator.StatusPath, "/status")
}

func TestResultsHaveFixedNames(t *testing.T) {
	checkFormat(t, operator.Result{
		Revision:     1,
		Sections:     []document.Section{document.Rates, document.PolicySection},
		Unchanged:    true,
		Rebased:      2,
		PartsWritten: 3,
	}, `{"Revision":1,"Sections":["Rates","Policy"],"Unchanged":true,"Rebased":2,"PartsWritten":3}`)
	checkFormat(t, operator.Revision{
		Number:   1,
		At:       time.Unix(1_700_000_000, 0).UTC(),
		Author:   "ops",
		Sections: []document.Section{document.Routes},
	}, `{"Number":1,"At":"2023-11-14T22:13:20Z","Author":"ops","Sections":["Routes"]}`)
}

func TestDeadInstanceIsStoredUnderFixedKey(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	id := instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 34,
	}
	is.NoErr(f.editor("ops").DeclareDead(t.Context(), id))
	value, ok := f.Get("dead/10.0.0.1:7000")
	is.True(ok)
	is.Equal(string(value), "34")
	got, err := operator.DecodeDead(store.Entry{
		Key:   "dead/10.0.0.1:7000",
		Value: []byte("34"),
	})
	is.NoErr(err)
	is.Equal(got, id)
}

func TestDocumentIsStoredUnderFixedKeys(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	claims := map[string]string{}
	f.client.before = func(c store.Call) {
		if s, ok := c.(store.Swap); ok && strings.HasPrefix(s.Key, "document/claim/") {
			claims[s.Key] = string(s.Value)
		}
	}
	random := bytes.NewReader([]byte("abcdefghijklmnop"))
	e := f.editor("ops", operator.Random(random), operator.Clock(func() time.Time { return time.Unix(1_700_000_000, 0) }))
	for i, perSecond := range []float64{1, 2} {
		_, err := e.Set(t.Context(), operator.Change{
			Sections: []document.Section{document.Organisations, document.Rates},
			Document: testDocument(perSecond),
			Base:     uint64(i),
		})
		is.NoErr(err)
	}
	const (
		organisations = `{"Organisations":[{"Name":"rewa","KeyDigests":[]},{"Name":"mehta","KeyDigests":[]}]}`
		first         = `{"Rates":[{"Organisation":"rewa","PerSecond":1,"Burst":1}]}`
		second        = `{"Rates":[{"Organisation":"rewa","PerSecond":2,"Burst":1}]}`
	)
	digest := func(content string) string { return revision.DigestOf([]byte(content)).String() }
	want := map[string]string{
		"document/part/" + digest(organisations): organisations,
		"document/part/" + digest(first):         first,
		"document/part/" + digest(second):        second,
		"document/history/00000000000000000001": `{"Number":1,"Sections":[` +
			`{"Section":"Organisations","Revision":1,"Parts":["` + digest(organisations) + `"]},` +
			`{"Section":"Rates","Revision":1,"Parts":["` + digest(first) + `"]}],"Nonce":"MTcwMDAwMDAwMC9vcHMvNjE2MjYzNjQ2NTY2Njc2OA=="}`,
		"document/head": `{"Number":2,"Sections":[` +
			`{"Section":"Organisations","Revision":2,"Parts":["` + digest(organisations) + `"]},` +
			`{"Section":"Rates","Revision":2,"Parts":["` + digest(second) + `"]}],"Nonce":"MTcwMDAwMDAwMC9vcHMvNjk2YTZiNmM2ZDZlNmY3MA=="}`,
	}
	got := map[string]string{}
	for _, key := range f.Keys("") {
		value, _ := f.Get(key)
		got[key] = string(value)
	}
	is.Equal(got, want)
	is.Equal(claims, map[string]string{
		"document/claim/313730303030303030302f6f70732f36313632363336343635363636373638": `["` + digest(organisations) + `","` + digest(first) + `"]`,
		"document/claim/313730303030303030302f6f70732f36393661366236633664366536663730": `["` + digest(second) + `"]`,
	})
	revisions, err := e.Revisions(t.Context())
	is.NoErr(err)
	is.Equal(len(revisions), 2)
	is.Equal(revisions[0].Author, "ops")
	is.True(revisions[0].At.Equal(time.Unix(1_700_000_000, 0)))
	is.True(slices.Equal(revisions[0].Sections, []document.Section{"Organisations", "Rates"}))
}
