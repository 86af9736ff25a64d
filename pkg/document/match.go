package document

import (
	"slices"
	"strings"
)

// routeNode holds the routes of one path prefix.
type routeNode struct {
	// byHost are the routes that name a host; others take any.
	byHost  map[string][]*Route
	anyHost []*Route
}

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
		x.maxElements = max(x.maxElements, strings.Count(r.PathPrefix, "/"))
	}
}

// insertRoute puts routes that name methods before the one that takes all.
func insertRoute(list []*Route, r *Route) []*Route {
	if len(r.Methods) == 0 {
		return append(list, r)
	}
	return slices.Insert(list, 0, r)
}

// Match finds the route of a request, or nil. The path is the decoded one; the
// host may have a port. Among the routes that take the request's host, path
// and method, the longest prefix wins, then a route that names the host, then
// one that names the method.
//
// A path with empty or dot elements, a backslash or a semicolon has no route: a
// target might read it as another path than was matched here, so that the
// request slips past that one's key.
func (x *Index) Match(host, path, method string) *Route {
	if !isCleanPath(path) {
		return nil
	}
	host = normaliseHost(host)
	for end := x.longestPrefixEnd(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := x.nodes[path[:end]].match(host, method); r != nil {
			return r
		}
	}
	return x.nodes["/"].match(host, method)
}

// longestPrefixEnd is the end of the longest beginning of the path that may be a prefix
// of a route.
func (x *Index) longestPrefixEnd(path string) int {
	elements := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if elements == x.maxElements {
			return i
		}
		elements++
	}
	return len(path)
}

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

// normaliseHost takes port, final dot and capital letters off a host.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// isCleanPath tells whether a path begins with a slash, has no empty or dot
// elements, and no backslash or semicolon, which some servers take for a
// slash or for the end of an element. One slash at its end is allowed.
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
