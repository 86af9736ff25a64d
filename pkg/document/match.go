package document

import (
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

// Match returns the route of a request, or nil. The host may include a port. Among the routes
// that match the request's host, path and method, the one with the longest prefix wins, then one
// that names the host, then one that names the method.
//
// A target might interpret the path as a different one than is matched here, and the request
// would bypass the key check of that path's route. So a path with dot elements or a backslash has
// no route, and one with empty elements or a semicolon only if it has the same route without the
// empty elements and without what follows a semicolon in its element.
func (x *Index) Match(host, path, method string) *Route {
	if path == "" || path[0] != '/' || hasDotElement(path) || strings.IndexByte(path, '\\') >= 0 {
		return nil
	}
	host = normaliseHost(host)
	r := x.longestMatch(host, path, method)
	if r != nil && !isCleanPath(path) && x.longestMatch(host, plainPath(path), method) != r {
		return nil
	}
	return r
}

// MatchEscaped is Match for a path as it was received. A target might or might not decode
// escapes, so a path has a route only if it has the same one decoded.
func (x *Index) MatchEscaped(host, escaped, decoded, method string) *Route {
	r := x.Match(host, decoded, method)
	if r != nil && escaped != decoded && x.Match(host, escaped, method) != r {
		return nil
	}
	return r
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

// hasDotElement reports whether an element of the path, without what follows a semicolon, is one
// or two dots.
func hasDotElement(path string) bool {
	for element := range strings.SplitSeq(path, "/") {
		name, _, _ := strings.Cut(element, ";")
		if name == "." || name == ".." {
			return true
		}
	}
	return false
}

// plainPath returns the path without empty elements, and without what follows a semicolon in its
// element.
func plainPath(path string) string {
	var b strings.Builder
	for element := range strings.SplitSeq(path[1:], "/") {
		if name, _, _ := strings.Cut(element, ";"); name != "" {
			b.WriteByte('/')
			b.WriteString(name)
		}
	}
	last := path[strings.LastIndexByte(path, '/')+1:]
	if name, _, _ := strings.Cut(last, ";"); name == "" {
		b.WriteByte('/')
	}
	return b.String()
}

// isCleanPath reports whether a path begins with a slash and has no empty or dot
// elements, no backslash and no semicolon. Some servers treat a backslash as a
// slash and a semicolon as the end of an element. A single trailing slash is
// allowed.
func isCleanPath(path string) bool {
	if path == "" || path[0] != '/' || strings.ContainsAny(path, "\\;") {
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
