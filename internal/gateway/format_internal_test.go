package gateway

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
	"dandelionmux/pkg/zoneload"
)

// These tests fail if a stored or sent form or a name that it holds changes:
// instances of two versions could no longer read each other.

func TestMemberIsStoredUnderFixedNames(t *testing.T) {
	is := is.New(t)
	const stored = `{"Zone":"a","Incarnation":3,"Build":"149e753","Allocates":true}`
	want := memberValue{
		Zone:        "a",
		Incarnation: 3,
		Build:       "149e753",
		Allocates:   true,
	}
	content, err := json.Marshal(want)
	is.NoErr(err)
	is.Equal(string(content), stored)
	var got memberValue
	is.NoErr(json.Unmarshal([]byte(stored), &got))
	is.Equal(got, want)
	// An older build doesn't say that it grants slots, since it can't.
	want.Allocates, got = false, memberValue{}
	is.NoErr(json.Unmarshal([]byte(`{"Zone":"a","Incarnation":3,"Build":"149e753"}`), &got))
	is.Equal(got, want)
	g := &Gateway{
		self: instance.Info{
			ID: instance.ID{
				Address: "10.0.0.1:7000",
			},
		},
	}
	is.Equal(g.memberKey(), "dandelionmux/members/10.0.0.1:7000")
}

func TestEraIsStoredUnderAFixedName(t *testing.T) {
	is := is.New(t)
	m := mirror.New(mirror.WithEraKey(eraKey))
	at := mirror.Position{
		Era:     3,
		Counter: 5,
	}
	m.ApplyList(0, nil, at)
	m.ConfirmRead(time.Minute, at)
	record, ok := m.UnrecordedEra()
	is.True(ok)
	is.Equal(record, store.Entry{
		Key:   "dandelionmux/era",
		Value: []byte("3"),
	})
}

func TestQuarantineIsStoredUnderFixedNames(t *testing.T) {
	is := is.New(t)
	content, err := json.Marshal(quarantineValue{
		Targets: []string{"desk-1", "desk-2"},
	})
	is.NoErr(err)
	is.Equal(string(content), `{"Targets":["desk-1","desk-2"]}`)
	is.Equal(quarantineKey(quarantine.Fingerprint{1, 2}), "dandelionmux/quarantine/01020000000000000000000000000000")
}

func TestDatagramsHaveFixedBytes(t *testing.T) {
	tests := []struct {
		name string
		m    message
		want string
	}{
		{
			name: "ask",
			m: decisionRequest{
				Number:  7,
				Kind:    retryBudget,
				Name:    "desk",
				Amount:  3,
				Forward: true,
				Origin:  "10.0.0.2:7340",
			},
			want: "08011007180222046465736b28035801420d31302e302e302e323a37333430",
		},
		{
			name: "ask with the time over which requests were begun",
			m: decisionRequest{
				Number: 7,
				Kind:   retryBudget,
				Name:   "desk",
				Amount: 3,
				Over:   1200 * time.Millisecond,
			},
			want: "08011007180222046465736b2803580068b009",
		},
		{name: "ask for a permit for a cold target", m: decisionRequest{Number: 8, Kind: targetLimit, Name: "desk-1", Amount: 3700, Cold: true}, want: "08011008180322066465736b2d3128f41c58007001"},
		{name: "ask with a rank", m: decisionRequest{Number: 7, Kind: retryBudget, Name: "desk", Rank: 1}, want: "08011007180222046465736b28005800800101"},
		{
			name: "ask for rate",
			m: decisionRequest{
				Number: 8,
				Kind:   organisationRate,
				Name:   "orchard",
				Amount: 1,
			},
			want: "08011008180122076f72636861726428015800",
		},
		{
			name: "verdict",
			m: decisionResponse{
				Number: 7,
				Decision: meter.Decision{
					Granted:    true,
					RetryAfter: 250 * time.Millisecond,
				},
			},
			want: "08021007300138fa01",
		},
		{
			name: "testimony that a target can't be connected to",
			m: decisionResponse{
				Number:    7,
				Unreached: true,
			},
			want: "08021007300070013800",
		},
		{
			name: "failure",
			m: failureReport{
				Service: "desk",
				Target:  "desk-1",
				Outcome: target.Crashed,
				Suspect: quarantine.Fingerprint{1, 2, 3},
				Forward: true,
			},
			want: "080342046465736b22066465736b2d3148045210010203000000000000000000000000005801",
		},
		{
			name: "wants",
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
			want: "0804621822076f72636861726442016128c8d0071080bcc1960b5801420d31302e302e302e313a373030305801",
		},
		{
			name: "offers",
			m: loanOffers{
				Offers: []meter.LoanOffer{{
					Organisation: "orchard",
					Zone:         "b",
					Fraction:     0.25,
					SentAt:       4 * time.Second,
				}},
			},
			want: "0805621622076f7263686172644201622890a10f1080d0acf30e",
		},
		{
			name: "loads",
			m: loadReport{
				Loads: []targetLoad{{
					Service: "desk",
					Load: outlier.Load{
						Target:  "desk-a",
						Running: 3,
					},
				}},
			},
			want: "0806621042046465736b22066465736b2d612803",
		},
		{
			name: "no loads",
			m: loadReport{
				Age: 4 * time.Second,
			},
			want: "080668a01f",
		},
		{
			name: "limit",
			m: limitReport{
				Target: "desk-1",
				Limit: meter.TargetLimit{
					Kind:      meter.Limited,
					PerSecond: 1.3,
				},
				Forward: true,
			},
			want: "080822066465736b2d31300128940a5801",
		},
		{
			name: "links",
			m: linkReport{
				Instance: "10.0.0.1:7000",
				Report: link.Report{
					All:      true,
					Services: []string{"desk", "mill"},
				},
				Forward: true,
			},
			want: "0809420d31302e302e302e313a3730303030015801620622046465736b620622046d696c6c",
		},
		{
			name: "target's leave",
			m: leavingReport{
				Target:      "desk-1",
				Incarnation: 1772512933000,
				Forward:     true,
			},
			want: "080a22066465736b2d311088e98390cb335801",
		},
		{
			name: "question about a target",
			m: decisionRequest{
				Number: 9,
				Kind:   targetContact,
				Name:   "desk-1",
			},
			want: "08011009180422066465736b2d3128005800",
		},
		{
			name: "ask for a limited target",
			m: decisionRequest{
				Number: 8,
				Kind:   targetLimit,
				Name:   "desk-1",
				Amount: 1300,
			},
			want: "08011008180322066465736b2d3128940a5800",
		},
		{
			name: "retries",
			m: retryReport{
				Totals: []meter.Totals{{
					Service:  "desk",
					Retries:  12,
					Requests: 300,
				}},
				Age: 4 * time.Second,
			},
			want: "0807620b42046465736b280c10ac0268a01f",
		},
		{
			name: "request for a slot",
			m: slotRequest{
				Number: 7, Service: "desk", Rank: 2, Organisation: "orchard", Repeatable: true, Beside: true,
				Tried: []string{"desk-a", "desk-b"}, Unfit: []string{"desk-c"}, Left: 1200 * time.Millisecond,
				Expected: 140 * time.Millisecond, Objective: time.Second, Origin: "10.0.0.2:7340",
			},
			want: "080b7a47080712046465736b180222076f726368617264280130013a066465736b2d613a066465736b2d6242066465736b2d6348b009508c0158e807620d31302e302e302e323a37333430",
		},
		{name: "request for a slot with absent fields", m: slotRequest{Number: 7, Service: "desk"}, want: "080b7a08080712046465736b"},
		{name: "granted slot", m: slotResponse{Number: 7, Verdict: slotGranted, Target: "desk-a"}, want: "080c7a0c0807680172066465736b2d61"},
		{name: "wait for a slot", m: slotResponse{Number: 7, Verdict: slotWaiting, Wait: 40 * time.Millisecond, Reason: "late"}, want: "080c7a0d0807680278288a01046c617465"},
		{name: "refused slot", m: slotResponse{Number: 7, Verdict: slotRefused, Wait: 3 * time.Second, RetryAfter: 400 * time.Millisecond, Reason: "no-capacity"}, want: "080c7a190807680378b817800190038a010b6e6f2d6361706163697479"},
		{name: "declined slot of a forwarded request", m: slotResponse{Number: 7, Origin: "10.0.0.2:7340"}, want: "080c7a110807620d31302e302e302e323a37333430"},
		{name: "released slot", m: slotRelease{Number: 7, Service: "desk", Target: "desk-a", Hold: 270 * time.Millisecond, Unused: true}, want: "080d7a17080712046465736b72066465736b2d6190018e02e00101"},
		{
			name: "load of a zone",
			m: zoneLoadReport{
				Report: zoneload.Report{
					Service: "desk", Zone: "a", Targets: 20, Slots: 40, InUse: 39, Waiting: 3, ServiceTime: 140 * time.Millisecond,
				},
				SentAt: 5 * time.Second, EchoedAt: 4 * time.Second, HeldFor: 250 * time.Microsecond,
			},
			want: "080e7a2a12046465736b9a010161a00114a80128b00127b80103c0018c01c801c096b102d0018092f401d801fa01",
		},
		{name: "load of a zone with slots that are free again", m: zoneLoadReport{Report: zoneload.Report{Service: "desk", Zone: "a"}, Vacated: true}, want: "080e7a0d12046465736b9a010161e80101"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hex.EncodeToString(encode(tt.m)), tt.want)
			content, err := hex.DecodeString(tt.want)
			is.NoErr(err)
			got, err := decode(content)
			is.NoErr(err)
			is.Equal(got, tt.m)
		})
	}
}

func TestTextsOfKindsAreFixed(t *testing.T) {
	is := is.New(t)
	is.Equal(organisationRate.String(), "rate")
	is.Equal(slotKind, "slots")
	is.Equal(retryBudget.String(), "budget")
}

// The metrics of store calls are named after the calls' types.
func TestMetricsOfStoreCallsHaveFixedNames(t *testing.T) {
	tests := []struct {
		call store.Call
		want string
	}{
		{store.Get{}, "store.Get"},
		{store.List{}, "store.List"},
		{store.Swap{}, "store.Swap"},
		{store.Delete{}, "store.Delete"},
		{store.GrantLease{}, "store.GrantLease"},
		{store.RenewLease{}, "store.RenewLease"},
		{store.RevokeLease{}, "store.RevokeLease"},
		{store.Watch{}, "store.Watch"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fmt.Sprintf("%T", tt.call), tt.want)
			for _, failing := range []bool{false, true} {
				g := &Gateway{
					adapters: Adapters{
						Store: stubStore{
							failing: failing,
						},
					},
					registry: metrics.NewRegistry(),
				}
				g.state = newLocalState(g)
				_, err := g.callStore(t.Context(), tt.call)
				is.Equal(err != nil, failing)
				name := "Store.Answered." + tt.want
				if failing {
					name = "Store.Failed." + tt.want
				}
				is.True(g.registry.Get(name) != nil) // counted under its name
			}
		})
	}
}

// stubStore answers every call, or fails it.
type stubStore struct {
	failing bool
}

// Do implements store.Client.
func (s stubStore) Do(context.Context, store.Call) (store.Answer, error) {
	if s.failing {
		return nil, store.ErrUnavailable
	}
	return store.Value{}, nil
}

// The metrics of reported failures are named after the outcomes.
func TestMetricsOfOutcomesHaveFixedNames(t *testing.T) {
	tests := []struct {
		outcome target.Outcome
		want    string
	}{
		{target.Failed, "Target.Told.failed"},
		{target.TimedOut, "Target.Told.timed-out"},
		{target.Truncated, "Target.Told.truncated"},
		{target.Crashed, "Target.Told.crashed"},
		{target.Shed, "Target.Told.shed"},
		{target.Refused, "Target.Told.refused"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{
				logger:   slog.New(slog.DiscardHandler),
				registry: metrics.NewRegistry(),
			}
			g.state = newLocalState(g)
			g.reportOutcome(attemptReport{
				service: "desk",
				target:  "desk-a",
				outcome: tt.outcome,
			}, true)
			is.True(g.registry.Get(tt.want) != nil) // counted under its name
		})
	}
}

// Guards against a log and counters that can't tell a failing target from a kept
// connection that the target had dropped.
func TestFailuresTellNewFromReusedConnections(t *testing.T) {
	tests := []struct {
		name   string
		result entry.AttemptResult
		metric string
		line   string
	}{
		{
			name: "new connection",
			result: entry.AttemptResult{
				Outcome: target.Crashed,
			},
			metric: "Target.Died.new",
			line:   "Outcome=crashed Reused=false Rested=0s",
		},
		{
			name: "reused connection",
			result: entry.AttemptResult{
				Outcome: target.Crashed,
				Reused:  true,
				Rested:  400 * time.Millisecond,
			},
			metric: "Target.Died.reused",
			line:   "Outcome=crashed Reused=true Rested=400ms",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			g := &Gateway{
				logger:   slog.New(slog.NewTextHandler(&log, nil)),
				registry: metrics.NewRegistry(),
			}
			g.state = newLocalState(g)
			table := outlier.New("a", newRandom())
			table.Update(0, []target.Registration{
				{
					Target: document.Target{
						Name:  "desk-a",
						Slots: 1,
					},
				},
			})
			g.state.services["desk"] = &service{
				name:      "desk",
				table:     table,
				latencies: outlier.NewLatencies(),
			}
			sl := &slot{
				gateway: g,
				service: "desk",
				target: document.Target{
					Name: "desk-a",
				},
				timer: time.NewTimer(time.Hour),
			}
			sl.Release(tt.result)
			is.True(g.registry.Get(tt.metric) != nil)
			is.True(strings.Contains(log.String(), tt.line))
		})
	}
}

func TestMirrorIsCopiedInAFixedForm(t *testing.T) {
	copied := mirrorCopy{
		Delta: mirror.Delta{
			At: mirror.Position{
				Counter: 7,
			},
			Full: true,
			Entries: []store.Entry{
				{
					Key:     "k",
					Value:   []byte("v"),
					Version: 5,
				},
				{
					Key:       "l",
					RemovedAt: 6,
				},
			},
		},
		ConfirmationAge: time.Millisecond,
		Confirmed:       true,
	}
	inEra := copied
	inEra.At.Era = 2
	withDigest := copied
	withDigest.Digest = 300
	tests := []struct {
		name    string
		after   mirror.Position
		differs bool
		query   string
		sent    string
		want    mirrorCopy
	}{
		{
			name: "with a digest, to one that differs",
			after: mirror.Position{
				Counter: 3,
			},
			differs: true,
			query:   "/?After=3&Differs=1",
			sent:    "0807100118e807200150ac02" + "2a0a0a016b12017618052000" + "2a090a016c120018002006",
			want:    withDigest,
		},
		{
			name: "store that was never set back",
			after: mirror.Position{
				Counter: 3,
			},
			query: "/?After=3",
			sent:  "0807100118e8072001" + "2a0a0a016b12017618052000" + "2a090a016c120018002006",
			want:  copied,
		},
		{
			name: "store that was set back",
			after: mirror.Position{
				Era:     2,
				Counter: 3,
			},
			query: "/?After=3&Era=2",
			sent:  "08073002100118e8072001" + "2a0a0a016b12017618052000" + "2a090a016c120018002006",
			want:  inEra,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hex.EncodeToString(encodeMirrorCopy(tt.want)), tt.sent)
			content, err := hex.DecodeString(tt.sent)
			is.NoErr(err)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet && r.URL.String() == tt.query {
					_, _ = w.Write(content)
				}
			}))
			defer server.Close()
			g := &Gateway{
				peerClient: newPeerClient(),
			}
			defer g.peerClient.CloseIdleConnections()
			got, err := g.requestMirror(t.Context(), instance.Address(server.Listener.Addr().String()), mirrorRequest{
				After:    tt.after,
				Differs:  tt.differs,
				Patience: copyTimeout,
			})
			is.NoErr(err)
			is.Equal(got, tt.want)
		})
	}
}
