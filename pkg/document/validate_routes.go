package document

import (
	"net/http"
	"slices"
	"strings"
)

// fleetHeaderPrefix begin the headers that the fleet itself writes.
const fleetHeaderPrefix = "dandelionmux-"

// reservedHeaders can't carry a key, since HTTP gives them another meaning.
var reservedHeaders = []string{
	"connection", "content-length", "content-type", "cookie", "host", "idempotency-key", "te", "trailer",
	"transfer-encoding", "upgrade",
}

// matchCondition is what no two routes may share: where and for which method a
// route matches.
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

// checkConflicts refuses two routes that would match the same request equally
// well.
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
		r.add("Host", "%d characters are over %d", len(host), maximumHostBytes)
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
		r.add("PathPrefix", "%d characters are over %d", len(path), maximumPathBytes)
	case path != "/" && strings.HasSuffix(path, "/"):
		r.add("PathPrefix", "%q ends with a slash; it matches whole elements without one", path)
	case !isCleanPath(path) || strings.ContainsAny(path, "?#%\\ \t\r\n"):
		r.add("PathPrefix", "%q is not a plain path: no empty or dot elements, no query, no escapes", path)
	case strings.Count(path, "/") > maximumPathElements:
		r.add("PathPrefix", "%d elements are over %d", strings.Count(path, "/"), maximumPathElements)
	}
}

func checkMethods(r reporter, methods []string) {
	if len(methods) > maximumMethodsPerRoute {
		r.add("Methods", "%d methods are over %d", len(methods), maximumMethodsPerRoute)
		return
	}
	for i, m := range methods {
		switch {
		case m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
			r.add("Methods", "%q is not a method in capital letters", truncate(m, maximumNameBytes))
		case m == http.MethodConnect || m == http.MethodTrace:
			r.add("Methods", "%s is never forwarded", m)
		case slices.Contains(methods[:i], m):
			r.add("Methods", "%s stands twice", m)
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
		r.add("Key.Name", "the header %s has another use", k.Name)
	}
}
