package entry

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/target"
)

// Guards against a rest that is missed, that never ends, or that another target's answer
// imposes.
func TestRestOfAnswer(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		values  []string
		outcome target.Outcome
		want    time.Duration
	}{
		{"none", http.StatusServiceUnavailable, nil, target.Shed, 0},
		{"whole seconds", http.StatusServiceUnavailable, []string{"3"}, target.Shed, 3 * time.Second},
		{"fraction", http.StatusServiceUnavailable, []string{"0.25"}, target.Shed, 250 * time.Millisecond},
		{"spaces", http.StatusServiceUnavailable, []string{" 3 "}, target.Shed, 3 * time.Second},
		{"zero", http.StatusServiceUnavailable, []string{"0"}, target.Shed, 0},
		{"negative", http.StatusServiceUnavailable, []string{"-3"}, target.Shed, 0},
		{"huge", http.StatusServiceUnavailable, []string{"1e300"}, target.Shed, maxRest},
		{"infinite", http.StatusServiceUnavailable, []string{"Inf"}, target.Shed, maxRest},
		{"not a number", http.StatusServiceUnavailable, []string{"NaN"}, target.Shed, 0},
		{"date", http.StatusServiceUnavailable, []string{"Fri, 04 Dec 2026 12:00:00 GMT"}, target.Shed, 0},
		{"several", http.StatusServiceUnavailable, []string{"1", "soon", "4", "2"}, target.Shed, 4 * time.Second},
		{"failure with 503", http.StatusServiceUnavailable, []string{"3"}, target.Failed, 3 * time.Second},
		{"over a limit", http.StatusTooManyRequests, []string{"3"}, target.Shed, 0},
		{"crossed answer", http.StatusServiceUnavailable, []string{"3"}, target.Truncated, 0},
		{"another target at the address", http.StatusMisdirectedRequest, []string{"3"}, target.Shed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := &answer{
				exchange: &exchange{
					handler: &Handler{
						logger: slog.New(slog.DiscardHandler),
					},
				},
				response: &http.Response{
					StatusCode: tt.status,
					Header: http.Header{
						"Retry-After": tt.values,
					},
				},
			}
			is.Equal(a.rest(tt.outcome), tt.want)
		})
	}
}
