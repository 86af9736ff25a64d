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
		{"x", "//orders", "GET", ""},
		{"x", "/x/../orders", "GET", ""},
		{"x", "/x/./orders", "GET", ""},
		{"x", "/x/..", "GET", ""},
		{"x", "/x/..;a=b/orders", "GET", ""},
		{"x", `/x\..\orders`, "GET", ""},
		{"x", "/orders;a=b/7", "GET", ""},
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

// Guards against requests that go to a route whose prefix doesn't begin their path, past the key of
// the route that does, and against paths without a route although a prefix begins them. The
// reference compares strings only.
func TestPrefixesWithFinalSlashBeginThePath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`(/[ab]){0,3}/`)
		var d document.Document
		for i, p := range rapid.SliceOfNDistinct(prefix, 0, 8, rapid.ID[string]).Draw(t, "prefixes") {
			d.Routes = append(d.Routes, route(fmt.Sprint(i), "", p))
		}
		reference := func(path string) string {
			best, length := "", 0
			for _, r := range d.Routes {
				if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > length {
					best, length = r.Name, len(r.PathPrefix)
				}
			}
			return best
		}
		x := document.NewIndex(d)
		match := func(path string) string {
			if r := x.Match("h", path, "GET"); r != nil {
				return r.Name
			}
			return ""
		}
		plain := rapid.StringMatching(`(/[ab]){0,4}/?`).Draw(t, "plain path")
		if got, want := match(plain), reference(plain); got != want {
			t.Fatalf("%q: got route %q, want %q of %+v", plain, got, want, d.Routes)
		}
		odd := rapid.StringMatching(`(/|/[ab]|;a|;|/\.|/\.\.|\\|%2F|a){1,6}`).Draw(t, "odd path")
		got := match(odd)
		if got != "" && got != reference(odd) {
			t.Fatalf("%q: got route %q, want %q of %+v", odd, got, reference(odd), d.Routes)
		}
		// A target may take doubled slashes for one, and leave out what follows a semicolon.
		same := regexp.MustCompile(`//+`).ReplaceAllString(regexp.MustCompile(`;[^/]*`).ReplaceAllString(odd, ""), "/")
		dots := regexp.MustCompile(`/\.\.?(;[^/]*)?(/|$)|\\`).MatchString(odd)
		if want := reference(odd); !dots && want == reference(same) && got != want {
			t.Fatalf("%q: got route %q, want %q of %+v", odd, got, want, d.Routes)
		}
		if got != "" && got != reference(same) {
			t.Fatalf("%q: got route %q, but a target may take it for %q, which has route %q", odd, got, same, reference(same))
		}
	})
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
