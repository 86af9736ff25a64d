package entry

import (
	"net/http"
	"net/url"
	"strings"

	"dandelionmux/pkg/document"
)

// bearerPrefix begins an Authorization header that carries a key.
const bearerPrefix = "Bearer "

// takeKey returns the caller's key and removes it from the request, in
// whichever place the route takes it. Repeated keys are no key.
func takeKey(out *http.Request, at document.KeyLocation) (string, bool) {
	name := at.FieldName()
	switch at.Place {
	case document.InQuery:
		return takeQuery(out, name)
	case document.InCookie:
		return takeCookie(out, name)
	case document.InBearer:
		return takeBearer(out)
	default:
		return takeHeader(out, name)
	}
}

func takeHeader(out *http.Request, name string) (string, bool) {
	values := out.Header.Values(name)
	out.Header.Del(name)
	return single(values)
}

func takeBearer(out *http.Request) (string, bool) {
	value, ok := takeHeader(out, "Authorization")
	if !ok || len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return value[len(bearerPrefix):], true
}

// takeQuery cuts the key's parameters out of the raw query and leaves the rest
// as the caller wrote it.
func takeQuery(out *http.Request, name string) (string, bool) {
	var kept, values []string
	for pair := range strings.SplitSeq(out.URL.RawQuery, "&") {
		left, right, _ := strings.Cut(pair, "=")
		key, err := url.QueryUnescape(left)
		if err != nil || key != name {
			kept = append(kept, pair)
			continue
		}
		value, err := url.QueryUnescape(right)
		if err == nil {
			values = append(values, value)
		}
	}
	out.URL.RawQuery = strings.Join(kept, "&")
	return single(values)
}

// takeCookie cuts the key's cookies out and leaves the rest as the caller
// wrote it.
func takeCookie(out *http.Request, name string) (string, bool) {
	var values, kept []string
	for _, line := range out.Header.Values("Cookie") {
		for pair := range strings.SplitSeq(line, ";") {
			pair = strings.TrimSpace(pair)
			left, right, _ := strings.Cut(pair, "=")
			if strings.TrimSpace(left) == name {
				values = append(values, strings.Trim(strings.TrimSpace(right), `"`))
				continue
			}
			if pair != "" {
				kept = append(kept, pair)
			}
		}
	}
	out.Header.Del("Cookie")
	if len(kept) > 0 {
		out.Header.Set("Cookie", strings.Join(kept, "; "))
	}
	return single(values)
}

func single(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}
