package document

import (
	"net/url"
	"slices"
	"strings"
)

// routeNode holds the routes of one path prefix.
type routeNode struct {
	// byHost are the routes that name a host; anyHost are those that don't.
	byHost  map[string][]*Route
	anyHost []*Route
}

// indexRoutes adds each route to the node of its path prefix.
func (x *Index) indexRoutes() {
	for i := range x.document.Routes {
		r := &x.document.Routes[i]
		node := x.nodes[r.PathPrefix]
		if node == nil {
			node = &routeNode{
				byHost: map[string][]*Route{},
			}
			x.nodes[r.PathPrefix] = node
		}
		if r.Host == "" {
			node.anyHost = insertRoute(node.anyHost, r)
		} else {
			node.byHost[r.Host] = insertRoute(node.byHost[r.Host], r)
		}
		x.maxSlashes = max(x.maxSlashes, strings.Count(r.PathPrefix, "/"))
	}
}

// insertRoute adds a route to the list, in which routes that name methods precede
// the one that matches all methods.
func insertRoute(list []*Route, r *Route) []*Route {
	if len(r.Methods) == 0 {
		return append(list, r)
	}
	return slices.Insert(list, 0, r)
}

// Selection is the outcome of selecting a request's route.
type Selection struct {
	// Route is the route that serves the request, or nil.
	Route *Route
	// Refused is set if a prefix begins the path, but a target may read the path as one that this
	// route may not serve.
	Refused *Route
	// Other is the route of that reading, or nil if it has none.
	Other *Route
}

// Match returns the route that Select selects, or nil.
func (x *Index) Match(host, path, method string) *Route {
	return x.Select(host, path, method).Route
}

// Select selects the route of a request from its path as it was received, with escapes. The host
// may include a port. Among the routes that match the request's host, path and method, the one
// with the longest prefix wins, then one that names the host, then one that names the method.
//
// A target may read the path differently: decoded, with dot elements resolved, with doubled
// slashes as one, with backslashes as slashes, or without what follows a semicolon in an element.
// The request is refused if such a reading has no route, or one that demands more of the caller, and
// if there are too many readings to look at.
func (x *Index) Select(host, path, method string) Selection {
	if path == "" || path[0] != '/' {
		return Selection{}
	}
	host = normaliseHost(host)
	r := x.longestMatch(host, path, method)
	if r == nil || isCleanPath(path) {
		return Selection{
			Route: r,
		}
	}
	paths, all := readings(path)
	if !all {
		return Selection{
			Refused: r,
		}
	}
	for _, reading := range paths {
		other := x.longestMatch(host, reading, method)
		if other != r && (other == nil || other.demandsMore(r, method)) {
			return Selection{
				Refused: r,
				Other:   other,
			}
		}
	}
	return Selection{
		Route: r,
	}
}

// demandsMore reports whether a request that s may serve would bypass a check of r, or might run
// twice where r allows only one run.
func (r *Route) demandsMore(s *Route, method string) bool {
	switch {
	case s.Open && !r.Open,
		!s.Open && !r.Open && s.Key != r.Key,
		s.MayRepeat(method) && !r.MayRepeat(method):
		return true
	}
	return !r.Open && s.CostUnits() < r.CostUnits()
}

// longestMatch returns the route with the longest prefix that the path begins with.
func (x *Index) longestMatch(host, path, method string) *Route {
	for end := x.longestPrefixEnd(path); end > 0; {
		if r := x.nodes[path[:end]].match(host, method); r != nil {
			return r
		}
		if path[end-1] == '/' {
			end--
		} else {
			end = strings.LastIndexByte(path[:end], '/') + 1
		}
	}
	return nil
}

// longestPrefixEnd returns the length of the longest prefix of the path that has
// no more slashes than the longest path prefix of a route.
func (x *Index) longestPrefixEnd(path string) int {
	slashes := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if slashes == x.maxSlashes {
			return i
		}
		slashes++
	}
	return len(path)
}

// match returns the route of the node for a host and method, or nil. A route that
// names the host takes precedence.
func (n *routeNode) match(host, method string) *Route {
	if n == nil {
		return nil
	}
	if len(n.byHost) > 0 {
		if r := matchMethod(n.byHost[host], method); r != nil {
			return r
		}
	}
	return matchMethod(n.anyHost, method)
}

func matchMethod(list []*Route, method string) *Route {
	for _, r := range list {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// normaliseHost returns the host in lower case, without port and final dot.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Limits of the readings that are looked at, which bound the time that a request can take.
const (
	maxReadings      = 64
	maxReadPathBytes = 8 << 10
)

// readings returns the paths that targets may take a path for, decoded once at most. It reports
// false if they are too many, or too long.
func readings(path string) ([]string, bool) {
	if len(path) > maxReadPathBytes {
		return nil, false
	}
	type reading struct {
		path    string
		decoded bool
	}
	all := []reading{
		{
			path: path,
		},
	}
	add := func(path string, decoded bool) {
		next := reading{
			path:    path,
			decoded: decoded,
		}
		if !slices.Contains(all, next) {
			all = append(all, next)
		}
	}
	for i := 0; i < len(all); i++ {
		if len(all) > maxReadings {
			return nil, false
		}
		p, decoded := all[i].path, all[i].decoded
		if !decoded && strings.IndexByte(p, '%') >= 0 {
			if plain, err := url.PathUnescape(p); err == nil {
				add(plain, true)
			}
		}
		for _, read := range []func(string) string{
			slashBackslashes,
			cutParameters,
			mergeSlashes,
			resolveDots,
		} {
			add(read(p), decoded)
		}
	}
	paths := make([]string, 0, len(all))
	for _, r := range all {
		paths = append(paths, r.path)
	}
	return paths, true
}

func slashBackslashes(path string) string {
	return strings.ReplaceAll(path, "\\", "/")
}

// cutParameters returns the path without what follows a semicolon in its element.
func cutParameters(path string) string {
	if strings.IndexByte(path, ';') < 0 {
		return path
	}
	elements := strings.Split(path, "/")
	for i, element := range elements {
		elements[i], _, _ = strings.Cut(element, ";")
	}
	return strings.Join(elements, "/")
}

// mergeSlashes returns the path with each run of slashes as one.
func mergeSlashes(path string) string {
	if !strings.Contains(path, "//") {
		return path
	}
	var b strings.Builder
	for i := range len(path) {
		if i == 0 || path[i] != '/' || path[i-1] != '/' {
			b.WriteByte(path[i])
		}
	}
	return b.String()
}

// resolveDots returns the path without its dot elements, as RFC 3986, section 5.2.4, says.
func resolveDots(path string) string {
	if !strings.Contains(path, "/.") {
		return path
	}
	elements := strings.Split(path[1:], "/")
	kept := elements[:0]
	for i, element := range elements {
		last := i == len(elements)-1
		switch element {
		case ".":
		case "..":
			kept = kept[:max(len(kept)-1, 0)]
		default:
			kept = append(kept, element)
			continue
		}
		if last {
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/")
}

// isCleanPath reports whether a path begins with a slash and all its readings are the path itself.
// A single trailing slash is allowed.
func isCleanPath(path string) bool {
	if path == "" || path[0] != '/' || strings.ContainsAny(path, "\\;%") {
		return false
	}
	begin := 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			continue
		}
		switch path[begin:i] {
		case ".", "..":
			return false
		case "":
			if i < len(path) {
				return false
			}
		}
		begin = i + 1
	}
	return true
}
