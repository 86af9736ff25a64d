package entry

import (
	"net/http"
	"net/url"
	"strings"

	"dandelionmux/pkg/document"
)

// bearerPrefix is the beginning of an Authorization header that carries a key.
const bearerPrefix = "Bearer "

// takeKey returns the caller's key at the given location and removes it from the
// request. It returns false if there is no key or more than one.
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

// takeHeader takes the key from a header.
func takeHeader(out *http.Request, name string) (string, bool) {
	values := out.Header.Values(name)
	out.Header.Del(name)
	return single(values)
}

// takeBearer takes the key from an Authorization header of the scheme Bearer.
func takeBearer(out *http.Request) (string, bool) {
	value, ok := takeHeader(out, "Authorization")
	if !ok || len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return value[len(bearerPrefix):], true
}

// takeQuery takes the key from the raw query and leaves the other parameters as the
// caller wrote them.
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

// takeCookie takes the key from the cookies and leaves the other cookies as the
// caller wrote them.
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

// single returns the value if there is exactly one and it isn't empty.
func single(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}
