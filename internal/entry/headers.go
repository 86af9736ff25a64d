package entry

import (
	"net/http"
	"net/textproto"
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
		URL:    cloneURL(r),
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
