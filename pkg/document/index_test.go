package document_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/document"
)

func TestIndexFindsByKeyAndName(t *testing.T) {
	is := is.New(t)
	d := validDocument()
	// A digest that shares its first half with that of a key must not match it.
	near := document.DigestKey("two")
	near[31] ^= 1
	d.Organisations[0].KeyDigests = append(d.Organisations[0].KeyDigests, near)
	far := document.DigestKey("two")
	far[20] ^= 1
	x := document.NewIndex(d)
	tests := []struct {
		digest document.KeyDigest
		want   string
	}{
		{document.DigestKey("one"), "rewa"},
		{document.DigestKey("two"), "mehta"},
		{document.DigestKey("three"), "mehta"},
		{near, "rewa"},
		{far, ""},
		{document.DigestKey("four"), ""},
		{document.KeyDigest{}, ""},
	}
	for _, tt := range tests {
		name, ok := x.Organisation(tt.digest)
		is.Equal(name, tt.want)
		is.Equal(ok, tt.want != "")
	}
	rate, ok := x.Rate("rewa")
	is.True(ok && rate == d.Rates[0])
	_, ok = x.Rate("mehta")
	is.True(!ok) // has none
	s, ok := x.Service("dispatch")
	is.True(ok && len(s.Targets) == 2)
	_, ok = x.Service("x")
	is.True(!ok)
	is.True(x.HasOrganisation("mehta") && !x.HasOrganisation("x"))
}

func route(name, host, prefix string, methods ...string) document.Route {
	return document.Route{
		Name:       name,
		Host:       host,
		PathPrefix: prefix,
		Methods:    methods,
	}
}

func TestMatch(t *testing.T) {
	x := document.NewIndex(document.Document{
		Routes: []document.Route{
			route("all", "", "/"),
			route("shop", "shop.example", "/"),
			route("orders", "", "/orders"),
			route("post-orders", "", "/orders", "POST"),
			route("deep", "", "/orders/open/today"),
			route("put", "", "/only/put", "PUT"),
		},
	})
	tests := []struct {
		host, path, method, want string
	}{
		{"x", "/", "GET", "all"},
		{"shop.example", "/", "GET", "shop"},
		{"Shop.Example.:8080", "/x", "GET", "shop"},
		{"[::1]:80", "/x", "GET", "all"},
		{"[::1]", "/x", "GET", "all"},
		{"shop.example", "/orders", "GET", "orders"}, // the longer prefix wins
		{"x", "/orders", "POST", "post-orders"},
		{"x", "/orders/", "POST", "post-orders"},
		{"x", "/orders/7/8/9", "GET", "orders"},
		{"x", "/ordersets", "GET", "all"}, // whole elements only
		{"x", "/orders/open", "GET", "orders"},
		{"x", "/orders/open/today", "GET", "deep"},
		{"x", "/orders/open/today/x", "GET", "deep"},
		{"x", "/only/put", "GET", "all"}, // a route for another method doesn't hide shorter prefixes
		{"x", "/only/put", "PUT", "put"},
		{"x", "", "GET", ""},
		{"x", "orders", "GET", ""},
		{"x", "*", "OPTIONS", ""},
		{"x", "//orders", "GET", "all"}, // "orders" demands no more than "all"
		{"x", "/x/../orders", "GET", "all"},
		{"x", "/x/..;a=b/orders", "GET", "all"},
		{"x", "/orders;a=b/7", "GET", "all"},
		{"x", "/orders/%6fpen/today", "GET", "orders"},
		{"x", "/x/...", "GET", "all"},
		{"x", "/x/.hidden", "GET", "all"},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := x.Match(tt.host, tt.path, tt.method); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
	is := is.New(t)
	is.Equal(document.NewIndex(document.Document{}).Match("x", "/", "GET"), nil) // no routes
}

// linearMatch finds the same route as Index.Match by scoring all routes.
func linearMatch(routes []document.Route, host, path, method string) string {
	best, rank := "", -1
	for _, r := range routes {
		if r.Host != "" && r.Host != host || len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		if !strings.HasPrefix(path+"/", strings.TrimSuffix(r.PathPrefix, "/")+"/") {
			continue
		}
		score := 4 * len(r.PathPrefix)
		if r.Host != "" {
			score += 2
		}
		if len(r.Methods) > 0 {
			score++
		}
		if score > rank {
			best, rank = r.Name, score
		}
	}
	return best
}

func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`(/[ab]){1,4}|/`)
		host := rapid.SampledFrom([]string{"", "h", "i"})
		method := rapid.SampledFrom([]string{"GET", "PUT"})
		var d document.Document
		seen := map[string]bool{}
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			r := route(fmt.Sprint(i), host.Draw(t, "host"), path.Draw(t, "prefix"))
			if rapid.Bool().Draw(t, "limited") {
				r.Methods = []string{method.Draw(t, "limit")}
			}
			condition := fmt.Sprint(r.Host, r.PathPrefix, r.Methods)
			if !seen[condition] {
				seen[condition] = true
				d.Routes = append(d.Routes, r)
			}
		}
		x := document.NewIndex(d)
		h, p, m := host.Draw(t, "request host"), path.Draw(t, "path"), method.Draw(t, "method")
		got := ""
		if r := x.Match(h, p, m); r != nil {
			got = r.Name
		}
		if want := linearMatch(d.Routes, h, p, m); got != want {
			t.Fatalf("%s%s %s: got route %q, want %q of %+v", h, p, m, got, want, d.Routes)
		}
	})
}

// Guards against paths that reach a target past the key check, the rate or the single run of the
// route that the target takes them for, and against paths that are refused without such a reason.
func TestPathIsRefusedOnlyIfAReadingOfItDemandsMore(t *testing.T) {
	keyed := func(name, prefix string) document.Route { return route(name, "", prefix) }
	public := func(name, prefix string) document.Route {
		r := route(name, "", prefix)
		r.Open = true
		return r
	}
	with := func(r document.Route, change func(*document.Route)) document.Route {
		change(&r)
		return r
	}
	once := with(keyed("once", "/desk/book/"), func(r *document.Route) { r.Repeatable = document.Never })
	dear := with(keyed("dear", "/desk/dear/"), func(r *document.Route) { r.Cost = 5 })
	header := with(keyed("header", "/desk/header/"), func(r *document.Route) { r.Key.Name = "X-Other" })
	x := document.NewIndex(document.Document{
		Routes: []document.Route{
			keyed("desk", "/desk/"),
			public("lobby", "/desk/lobby/"),
			keyed("office", "/desk/lobby/office/"),
			keyed("same", "/desk/same/"),
			once,
			dear,
			header,
		},
	})
	tests := []struct {
		path, want, refused, other string
	}{
		// The bytes select the stricter route.
		{path: "/desk//lobby/1", want: "desk"},
		{path: "/desk/lobby;x/1", want: "desk"},
		{path: "/desk/%6cobby/1", want: "desk"},
		{path: "/desk/lobby%2f1", want: "desk"},
		{path: "/desk/./lobby/1", want: "desk"},
		{path: `/desk/\lobby/1`, want: "desk"},
		{path: "/desk//same/1", want: "desk"},
		{path: "/desk/same//..//lobby/1", want: "same"},
		{path: "/desk/book/../1", want: "once"},
		// A reading demands a key that the selected route doesn't.
		{path: "/desk/lobby/../1", refused: "lobby", other: "desk"},
		{path: "/desk/lobby/%2e%2e/1", refused: "lobby", other: "desk"},
		{path: "/desk/lobby/..%2f1", refused: "lobby", other: "desk"},
		{path: `/desk/lobby/..\1`, refused: "lobby", other: "desk"},
		{path: "/desk/lobby/..;x/1", refused: "lobby", other: "desk"},
		{path: "/desk/lobby//office/1", refused: "lobby", other: "office"},
		{path: "/desk/lobby/office;x/1", refused: "lobby", other: "office"},
		{path: "/desk/lobby/offic%65/1", refused: "lobby", other: "office"},
		{path: "/desk/lobby/%3bx/office/1", refused: "lobby", other: "office"},
		// A reading allows one run, costs more, or takes the key from another place.
		{path: "/desk//book/1", refused: "desk", other: "once"},
		{path: "/desk//dear/1", refused: "desk", other: "dear"},
		{path: "/desk//header/1", refused: "desk", other: "header"},
		// A reading leaves all routes.
		{path: "/desk/../admin", refused: "desk"},
		{path: "/desk/%2e%2e/admin", refused: "desk"},
		// No prefix begins the bytes.
		{path: "//desk/1"},
		{path: "/desk;x/1"},
		{path: "/%64esk/1"},
		{path: "/x/../desk/1"},
	}
	name := func(r *document.Route) string {
		if r == nil {
			return ""
		}
		return r.Name
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			got := x.Select("h", tt.path, "GET")
			is.Equal(name(got.Route), tt.want)
			is.Equal(name(got.Refused), tt.refused)
			is.Equal(name(got.Other), tt.other)
		})
	}
}

// Guards against requests that go to a route whose prefix doesn't begin their path, past the key of
// the route that does, and against paths without a route although a prefix begins them. The
// reference compares strings only.
func TestPrefixesWithFinalSlashBeginThePath(t *testing.T) {
	parameters := regexp.MustCompile(`;[^/]*`)
	slashes := regexp.MustCompile(`//+`)
	decode := strings.NewReplacer("%2F", "/", "%61", "a")
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`(/[ab]){0,3}/`)
		var d document.Document
		for i, p := range rapid.SliceOfNDistinct(prefix, 0, 8, rapid.ID[string]).Draw(t, "prefixes") {
			r := route(fmt.Sprint(i), "", p)
			r.Open = rapid.Bool().Draw(t, "open")
			d.Routes = append(d.Routes, r)
		}
		reference := func(path string) *document.Route {
			var best *document.Route
			for i, r := range d.Routes {
				if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
					best = &d.Routes[i]
				}
			}
			return best
		}
		x := document.NewIndex(d)
		check := func(path string, want *document.Route) {
			got := x.Match("h", path, "GET")
			if (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
				t.Fatalf("%q: got route %+v, want %+v of %+v", path, got, want, d.Routes)
			}
		}
		plain := rapid.StringMatching(`(/[ab]){0,4}/?`).Draw(t, "plain path")
		check(plain, reference(plain))
		odd := rapid.StringMatching(`(/|/[ab]|;a|;|%2F|%61|a){1,6}`).Draw(t, "odd path")
		want := reference(odd)
		for _, encoded := range []string{odd, decode.Replace(odd)} {
			for _, kept := range []string{encoded, parameters.ReplaceAllString(encoded, ""), decode.Replace(parameters.ReplaceAllString(encoded, ""))} {
				for _, reading := range []string{kept, slashes.ReplaceAllString(kept, "/"), decode.Replace(slashes.ReplaceAllString(kept, "/"))} {
					other := reference(reading)
					if want != nil && (other == nil || want.Open && !other.Open) {
						want = nil
					}
				}
			}
		}
		// The readings are more than these, but those lead to the same routes.
		check(odd, want)
		dotted := rapid.StringMatching(`(/|/[ab]|;a|/\.|/\.\.|\\|%2[Ee]|a){1,6}`).Draw(t, "path with dots")
		if got := x.Match("h", dotted, "GET"); got != nil {
			if want := reference(dotted); want == nil || got.Name != want.Name {
				t.Fatalf("%q: got route %q, want %+v of %+v", dotted, got.Name, want, d.Routes)
			}
		}
	})
}

// Guards against paths whose many readings take an instance's processor time.
func TestReadingsOfAPathAreBounded(t *testing.T) {
	x := document.NewIndex(document.Document{
		Routes: []document.Route{
			route("all", "", "/"),
			route("deep", "", "/a/b/c"),
		},
	})
	tests := []struct {
		name, path string
		refused    bool
	}{
		{name: "many readings", path: `/%3ba%5c/.;./\/..%2e%5c/.%25%5c%2f//..//.\%2f/;/%2e;;.`, refused: true},
		{name: "long", path: strings.Repeat("/a%20b", 2000), refused: true},
		{name: "long and plain", path: strings.Repeat("/ab", 20_000)},
		{name: "some escapes", path: strings.Repeat("/a%20b", 1000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := x.Select("h", tt.path, "GET")
			if refused := got.Refused != nil; refused != tt.refused || refused == (got.Route != nil) {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	x := document.NewIndex(largeDocument())
	digest := document.DigestKey("organisation-700")
	is.Equal(testing.AllocsPerRun(100, func() {
		x.Match("shop-20.example:8080", "/v1/area-100/item-5100/x/y", "POST")
		x.Organisation(digest)
		x.Rate("organisation-700")
		x.Service("service-7")
	}), 0.0)
}

func BenchmarkMatch(b *testing.B) {
	x := document.NewIndex(largeDocument())
	b.ReportAllocs()
	for b.Loop() {
		if x.Match("shop-20.example:8080", "/v1/area-100/item-5100/x/y", "POST") == nil {
			b.Fatal("no route")
		}
	}
}

func BenchmarkOrganisation(b *testing.B) {
	x := document.NewIndex(largeDocument())
	digest := document.DigestKey("organisation-700")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := x.Organisation(digest); !ok {
			b.Fatal("no organisation")
		}
	}
}

func BenchmarkNewIndex(b *testing.B) {
	d := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		document.NewIndex(d)
	}
}

// TestMain fixes the seed of the property tests, unless it is given on the command
// line.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
