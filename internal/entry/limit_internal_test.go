package entry

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/target"
)

// Guards against limits that are taken from answers which say nothing about the target, or
// that end because of one.
func TestLimitOfAnswer(t *testing.T) {
	unlimited := meter.TargetLimit{
		Kind: meter.Unlimited,
	}
	limited := meter.TargetLimit{
		Kind:      meter.Limited,
		PerSecond: 1.5,
	}
	tests := []struct {
		name    string
		status  int
		header  string
		outcome target.Outcome
		want    meter.TargetLimit
	}{
		{"success with a limit", http.StatusOK, "1.5", target.Succeeded, limited},
		{"success without", http.StatusOK, "", target.Succeeded, unlimited},
		{"shed with a limit", http.StatusServiceUnavailable, "1.5", target.Shed, limited},
		{"shed without", http.StatusServiceUnavailable, "", target.Shed, meter.TargetLimit{}},
		{"server error without", http.StatusInternalServerError, "", target.Failed, meter.TargetLimit{}},
		{"crossed answer", http.StatusOK, "1.5", target.Truncated, meter.TargetLimit{}},
		{"another target at the address", http.StatusMisdirectedRequest, "1.5", target.Shed, meter.TargetLimit{}},
		{"no number", http.StatusOK, "few", target.Succeeded, meter.TargetLimit{}},
		{"negative", http.StatusOK, "-1", target.Succeeded, meter.TargetLimit{}},
		{"not finite", http.StatusOK, "Inf", target.Succeeded, meter.TargetLimit{}},
		{"not a number", http.StatusOK, "NaN", target.Succeeded, meter.TargetLimit{}},
		{"nothing at all", http.StatusOK, "0", target.Succeeded, meter.TargetLimit{Kind: meter.Limited}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := &answer{
				exchange: &exchange{
					handler: &Handler{
						dialect: Dialect{
							TargetLimitHeader: "X-Limit",
						},
					},
				},
				response: &http.Response{
					StatusCode: tt.status,
					Header:     http.Header{},
				},
			}
			if tt.header != "" {
				a.response.Header.Set("X-Limit", tt.header)
			}
			is.Equal(a.limit(tt.outcome), tt.want)
		})
	}
}
