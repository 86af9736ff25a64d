package entry

import (
	"net/http"
	"net/url"
)

// DropRelayFields removes fields from a relayed request, as if a build that doesn't know them
// read it.
func DropRelayFields(r *http.Request, names ...string) {
	values, err := url.ParseQuery(r.Header.Get(relayHeader))
	if err != nil {
		return
	}
	for _, name := range names {
		values.Del(name)
	}
	r.Header.Set(relayHeader, values.Encode())
}
