package entry

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// forwardableRequest returns a copy of a caller's request for targets, without its
// body, hop-by-hop headers and headers that only the fleet may set.
func forwardableRequest(r *http.Request) *http.Request {
	out := &http.Request{
		Method: r.Method,
		URL:    forwardableURL(r),
		Host:   r.Host,
		Header: r.Header.Clone(),
	}
	dropHopHeaders(out.Header)
	dropFleetHeaders(out.Header)
	out.Header.Del("Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		// An explicit empty value prevents net/http from adding its own.
		out.Header.Set("User-Agent", "")
	}
	return out
}

// forwardableURL returns a copy of the request's URL that has the path as it was received.
func forwardableURL(r *http.Request) *url.URL {
	u := *r.URL
	// With Opaque, net/http doesn't escape what RFC 3986 doesn't allow in a path. It would take a
	// host from one that begins with two slashes.
	if path := receivedPath(r); path != u.EscapedPath() && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return &u
}

// escapedURI returns the path and query of a forwardable URL with all characters escaped that RFC
// 3986 doesn't allow. Fingerprints of requests are made of it on all builds.
func escapedURI(u *url.URL) string {
	escaped := *u
	escaped.Opaque = ""
	return escaped.RequestURI()
}

// receivedPath returns the request's path as its caller sent it, with escapes.
func receivedPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// dropHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func dropHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// dropFleetHeaders removes the headers that only the fleet may set.
func dropFleetHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			delete(h, name)
		}
	}
}
