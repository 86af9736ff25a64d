package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

func TestMessagesRoundTrip(t *testing.T) {
	tests := []struct {
		name string
		m    message
	}{
		{
			name: "decision request",
			m: decisionRequest{
				Number: 7,
				Kind:   retryBudget,
				Name:   "desk",
				Amount: 3,
				Over:   1200 * time.Millisecond,
			},
		},
		{
			name: "request for a permit for a cold target that names a limit",
			m:    decisionRequest{Number: 10, Kind: targetLimit, Name: "desk-1", Amount: 1100, Cold: true, Limited: true},
		},
		{
			name: "forwarded decision request",
			m: decisionRequest{
				Number:  8,
				Kind:    organisationRate,
				Name:    "orchard",
				Amount:  1,
				Forward: true,
				Origin:  "10.0.0.2:7340",
			},
		},
		{
			name: "decision response",
			m: decisionResponse{
				Number: 7,
				Decision: meter.Decision{
					Granted:    true,
					RetryAfter: 250 * time.Millisecond,
				},
			},
		},
		{
			name: "testimony that a target can't be connected to",
			m: decisionResponse{
				Number:    9,
				Unreached: true,
			},
		},
		{
			name: "strike of a run of a target",
			m: failureReport{
				Target:      "desk-1",
				Incarnation: 1780000000000,
				Outcome:     target.Crashed,
				Suspect:     quarantine.Fingerprint{1, 2, 3},
			},
		},
		{
			name: "failure report of an unresponsive target",
			m: failureReport{
				Service:      "desk",
				Target:       "desk-1",
				Outcome:      target.TimedOut,
				Unresponsive: true,
			},
		},
		{
			name: "load report with evidence",
			m: loadReport{
				Loads: []targetLoad{
					{
						Service: "desk",
						Load: outlier.Load{
							Target:   "desk-1",
							Running:  2,
							Evidence: -1.39,
						},
					},
				},
				Age: time.Second,
			},
		},
		{
			name: "failure report with a suspect",
			m: failureReport{
				Service: "desk",
				Target:  "desk-1",
				Outcome: target.Crashed,
				Suspect: quarantine.Fingerprint{1, 2, 3},
				Forward: true,
			},
		},
		{
			name: "loan requests",
			m: loanRequests{
				Requests: []meter.LoanRequest{{
					Organisation: "orchard",
					Zone:         "a",
					Fraction:     0.125,
					FleetKeeper:  true,
					SentAt:       3 * time.Second,
				}},
				Borrower: "10.0.0.1:7000",
				Forward:  true,
			},
		},
		{
			name: "loan offers",
			m: loanOffers{
				Offers: []meter.LoanOffer{{
					Organisation: "orchard",
					Zone:         "b",
					Fraction:     0.25,
					SentAt:       4 * time.Second,
				}},
			},
		},
		{
			name: "limit report",
			m: limitReport{
				Target: "desk-1",
				Limit: meter.TargetLimit{
					Kind:      meter.Limited,
					PerSecond: 1.3,
				},
				Forward: true,
			},
		},
		{
			name: "report that a limit has ended",
			m: limitReport{
				Target: "desk-1",
				Limit: meter.TargetLimit{
					Kind: meter.Unlimited,
				},
			},
		},
		{
			name: "retry report",
			m: retryReport{
				Totals: []meter.Totals{{
					Service:  "desk",
					Retries:  12,
					Requests: 300,
				}},
				Age: 9 * time.Second,
			},
		},
		{
			name: "load report",
			m: loadReport{
				Age: 4 * time.Second,
				Loads: []targetLoad{
					{
						Service: "desk",
						Load: outlier.Load{
							Target:  "desk-a",
							Running: 3,
						},
					},
					{
						Service: "desk",
						Load: outlier.Load{
							Target: "desk-b",
						},
					},
				},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := decode(encode(tt.m))
			is.NoErr(err)
			is.Equal(got, tt.m)
			_, err = decode(encode(tt.m)[:3])
			is.True(err != nil)
		})
	}
}

func TestDecodeDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		_, _ = decode(b)
		_, _ = decodeMirrorCopy(b)
	})
}

// A busy instance has requests at hundreds of targets. Its reports must be split to fit
// into datagrams, since receivers truncate datagrams above 2*maxDatagramBytes and reject
// them.
func TestLoadReportsFitIntoDatagrams(t *testing.T) {
	is := is.New(t)
	var loads []targetLoad
	for i := range 300 {
		loads = append(loads, targetLoad{
			Service: "accounts-office-of-the-mill",
			Load: outlier.Load{
				Target:  fmt.Sprintf("desk-%03d.central-division.example", i),
				Running: 6,
			},
		})
	}
	reported := 0
	for _, m := range splitLoads(loads, time.Hour) {
		is.True(len(encode(m)) <= maxDatagramBytes)
		reported += len(m.Loads)
	}
	is.Equal(reported, len(loads))
	is.Equal(len(splitLoads(nil, time.Hour)), 1) // an empty report says that the instance is reachable
}
