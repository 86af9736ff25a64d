package document

import (
	"net/http"
	"slices"
	"strings"
)

// fleetHeaderPrefix is the prefix, in lower case, of the headers that instances
// themselves set.
const fleetHeaderPrefix = "dandelionmux-"

// reservedHeaders, in lower case, can't carry a key because HTTP gives them
// another meaning.
var reservedHeaders = []string{
	"connection", "content-length", "content-type", "cookie", "host", "idempotency-key", "te", "trailer",
	"transfer-encoding", "upgrade",
}

// matchCondition is a host, path prefix and method that a route matches. No two
// routes may have the same one.
type matchCondition struct {
	host   string
	path   string
	method string
}

func validateRoutes(list []Route, n definedNames, r reporter) {
	checkCount(r, "routes", len(list), maximumRoutes)
	seen := make(map[string]bool, len(list))
	routes := make(map[matchCondition]string, len(list))
	for i, v := range list {
		r := r.forEntry(v.Name, i)
		checkName(r, "Name", v.Name, seen)
		checkHost(r, v.Host)
		checkPath(r, v.PathPrefix)
		checkMethods(r, v.Methods)
		if !n.services[v.Service] {
			r.add("Service", "no service is named %q in section %s", truncate(v.Service, maximumNameBytes), Services)
		}
		if v.Repeatable < ByMethod || v.Repeatable > Never {
			r.add("Repeatable", "%d is none of %v", v.Repeatable, repeatableNames)
		}
		checkDuration(r, "Timeout", v.Timeout, minimumTimeout, maximumTimeout)
		checkRange(r, "Cost", int64(v.Cost), 0, maximumCost)
		checkKeyLocation(r, v.Key)
		checkConflicts(r, v, routes)
	}
}

// checkConflicts reports a route with the same match condition as an earlier one.
// The map routes holds the names of the earlier routes.
func checkConflicts(r reporter, v Route, routes map[matchCondition]string) {
	methods := v.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, m := range methods {
		condition := matchCondition{
			host:   v.Host,
			path:   v.PathPrefix,
			method: m,
		}
		if other, ok := routes[condition]; ok && other != v.Name {
			r.add("PathPrefix", "route %q has the same host, path and method", other)
			return
		}
		routes[condition] = v.Name
	}
}

func checkHost(r reporter, host string) {
	if host == "" {
		return
	}
	if len(host) > maximumHostBytes {
		r.add("Host", "%d bytes exceed the limit of %d", len(host), maximumHostBytes)
		return
	}
	if host != strings.ToLower(host) || strings.ContainsAny(host, " /:?#@[]*\t\r\n") || strings.HasSuffix(host, ".") {
		r.add("Host", "%q is not a name in lower case, without port, wildcard or final dot", host)
	}
}

func checkPath(r reporter, path string) {
	switch {
	case !strings.HasPrefix(path, "/"):
		r.add("PathPrefix", "%q doesn't begin with a slash", truncate(path, maximumPathBytes))
	case len(path) > maximumPathBytes:
		r.add("PathPrefix", "%d bytes exceed the limit of %d", len(path), maximumPathBytes)
	case path != "/" && strings.HasSuffix(path, "/"):
		r.add("PathPrefix", "%q ends with a slash; a prefix matches whole elements without one", path)
	case !isCleanPath(path) || strings.ContainsAny(path, "?#%\\ \t\r\n"):
		r.add("PathPrefix", "%q is not a plain path: no empty or dot elements, no query, no escapes", path)
	case strings.Count(path, "/") > maximumPathElements:
		r.add("PathPrefix", "%d elements exceed the limit of %d", strings.Count(path, "/"), maximumPathElements)
	}
}

func checkMethods(r reporter, methods []string) {
	if len(methods) > maximumMethodsPerRoute {
		r.add("Methods", "%d methods exceed the limit of %d", len(methods), maximumMethodsPerRoute)
		return
	}
	for i, m := range methods {
		switch {
		case m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
			r.add("Methods", "%q is not a method in capital letters", truncate(m, maximumNameBytes))
		case m == http.MethodConnect || m == http.MethodTrace:
			r.add("Methods", "%s is never forwarded", m)
		case slices.Contains(methods[:i], m):
			r.add("Methods", "%s appears twice", m)
		}
	}
}

func checkKeyLocation(r reporter, k KeyLocation) {
	if k.Place < InHeader || k.Place > InBearer {
		r.add("Key.Place", "%d is none of %v", k.Place, placeNames)
		return
	}
	name := strings.ToLower(k.Name)
	switch {
	case k.Place == InBearer && name != "":
		r.add("Key.Name", "%q: a bearer key has no name", truncate(k.Name, maximumNameBytes))
	case (k.Place == InQuery || k.Place == InCookie) && name == "":
		r.add("Key.Name", "it is missing")
	case strings.IndexFunc(name, isNotNameCharacter) >= 0 || len(name) > maximumNameBytes:
		r.add("Key.Name", "%q is not a name of letters, digits, dot, underscore and hyphen", truncate(k.Name, maximumNameBytes))
	case k.Place == InHeader && (slices.Contains(reservedHeaders, name) || strings.HasPrefix(name, fleetHeaderPrefix)):
		r.add("Key.Name", "the header %s is reserved by HTTP or by the proxy and can't carry a key", k.Name)
	}
}
