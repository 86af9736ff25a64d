package gateway

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

// message is a datagram between instances: a decisionRequest, decisionResponse,
// failureReport, loanRequests, loanOffers, loadReport, retryReport, limitReport, linkReport,
// leavingReport, slotRequest, slotResponse, slotRelease or zoneLoadReport.
type message interface{ message() }

// decisionRequest asks a keeper for units of an organisation's rate, for a retry from a
// service's retry budget, or for a request to a target that names a limit. It also asks any
// instance whether it reaches a target.
type decisionRequest struct {
	// Number is chosen by the sender and returned in the response.
	Number uint64
	Kind   limitKind
	// Name is the organisation, the service or the target.
	Name string
	// Amount is the cost of the request in units for a rate, the number of requests
	// begun since the last decision request for a retry budget, or the limit in requests
	// per 1000 s for a target.
	Amount int
	// Over is the time over which Amount requests were begun, for a retry budget.
	Over time.Duration
	// Cold is set if the target is cold. Amount is then the lesser of its limits, and Limited
	// is set if that is one that the target names.
	Cold    bool
	Limited bool
	// Rank is that of the request to be retried plus one, for a retry budget. It is zero if no
	// rank is told, as by earlier builds; the budget is then spent in order of arrival.
	Rank int
	// Forward tells the receiver to forward the request once if it knows another
	// keeper.
	Forward bool
	// Origin is the instance that waits for the response if another instance forwarded
	// the request, else empty.
	Origin instance.Address
}

// decisionResponse answers a decisionRequest.
type decisionResponse struct {
	Number uint64
	meter.Decision
	// Unreached is set if the sender can't connect to the target that it was asked about,
	// although it connects to others.
	Unreached bool
}

// failureReport reports an attempt that failed at a target, or a request that doesn't crash
// targets after all.
type failureReport struct {
	// Service is empty if the report says nothing about the target.
	Service string
	Target  string
	// Incarnation is that of the target if Suspect is set, and else zero.
	Incarnation int64
	// Outcome is that of the attempt. With target.Succeeded the report only clears Suspect.
	Outcome target.Outcome
	// Suspect is the fingerprint of the request whose connection to the target ended while
	// it ran, or zero.
	Suspect quarantine.Fingerprint
	// Age is how long before the report the attempt began, to a millisecond; zero if that
	// isn't told.
	Age time.Duration
	// Unresponsive is set if the target seems to have stopped answering, by what all
	// instances of the sender's zone have seen.
	Unresponsive bool
	// Forward tells the receiver to forward the report to the other instances of its
	// zone.
	Forward bool
}

// limitReport reports the limit that a target has named, or that it has none any more.
type limitReport struct {
	Target string
	Limit  meter.TargetLimit
	// Forward is as in failureReport.
	Forward bool
}

// fleetReport is a message to all instances. The instances of other zones get it from one
// of them.
type fleetReport interface {
	message
	// forwarded returns the report with the field Forward set to the value.
	forwarded(forward bool) message
	// subject returns what the report is about. It selects the instances that forward
	// it.
	subject() string
}

func (m failureReport) forwarded(forward bool) message {
	m.Forward = forward
	return m
}

func (m limitReport) forwarded(forward bool) message {
	m.Forward = forward
	return m
}

func (m failureReport) subject() string { return m.Target }
func (m limitReport) subject() string   { return m.Target }

// loanRequests lists the parts of organisations' rates that a keeper wants to borrow
// from other zones.
type loanRequests struct {
	Requests []meter.LoanRequest
	// Borrower is the keeper that receives the offers.
	Borrower instance.Address
	// Forward tells the receiver to forward requests for rates that it does not keep
	// to their keepers in its zone, once.
	Forward bool
}

// loanOffers lists the parts of organisations' rates that the sender's zone lends.
type loanOffers struct {
	Offers []meter.LoanOffer
}

// loadReport lists the requests that the sender has running at targets.
type loadReport struct {
	Loads []targetLoad
	// Age is how long the sender has been running, to a millisecond.
	Age time.Duration
}

// retryReport lists what the sender has granted of the retry budgets that it keeps.
type retryReport struct {
	Totals []meter.Totals
	// Age is how long the sender has been running, to a millisecond.
	Age time.Duration
}

// targetLoad is the number of requests that an instance has running at one target.
type targetLoad struct {
	Service string
	outlier.Load
}

// loadOverheadBytes is the size of a targetLoad in a datagram without its names: tags,
// lengths and the count.
const loadOverheadBytes = 16

// splitLoads spreads loads over as many reports as are needed for each to fit into a
// datagram. It returns at least one report.
func splitLoads(loads []targetLoad, age time.Duration) []loadReport {
	reports := []loadReport{{
		Age: age,
	}}
	size := loadOverheadBytes
	for _, l := range loads {
		loadBytes := len(l.Service) + len(l.Target) + loadOverheadBytes
		if size+loadBytes > maxDatagramBytes {
			reports = append(reports, loadReport{
				Age: age,
			})
			size = loadOverheadBytes
		}
		last := &reports[len(reports)-1]
		last.Loads = append(last.Loads, l)
		size += loadBytes
	}
	return reports
}

func (decisionRequest) message()  {}
func (decisionResponse) message() {}
func (failureReport) message()    {}
func (loanRequests) message()     {}
func (loanOffers) message()       {}
func (loadReport) message()       {}
func (retryReport) message()      {}
func (limitReport) message()      {}

// limitKind is a kind of limit that a keeper decides about.
type limitKind uint64

// Values of limitKind.
const (
	organisationRate limitKind = iota + 1
	retryBudget
	targetLimit
	targetContact
)

// String returns the kind's name, which is used in logs and for ranking keepers.
func (k limitKind) String() string {
	switch k {
	case organisationRate:
		return "rate"
	case targetLimit:
		return "limit"
	case targetContact:
		return "contact"
	default:
		return "budget"
	}
}

// Types of datagrams.
const (
	decisionRequestType = iota + 1
	decisionResponseType
	failureReportType
	loanRequestsType
	loanOffersType
	loadReportType
	retryReportType
	limitReportType
	linkReportType
	leavingReportType
	slotRequestType
	slotResponseType
	slotReleaseType
	zoneLoadType
)

// Field numbers of datagrams and their items. Some are reused: fieldService also holds an
// instance address or a zone, fieldAmount a fraction in parts per million, a number of
// retries or a limit per 1000 s, fieldGranted whether a target names a limit or is
// unresponsive, or an instance reaches no service, fieldUnreached also whether a target is cold,
// fieldNumber a time in nanoseconds, a number
// of requests or, zigzag encoded, evidence in hundredths, fieldOver an age, and
// fieldForward, in an item of loanRequests, the flag FleetKeeper. fieldRetryAfter and
// fieldOver are in milliseconds.
const (
	fieldType protowire.Number = iota + 1
	fieldNumber
	fieldKind
	fieldName
	fieldAmount
	fieldGranted
	fieldRetryAfter
	fieldService
	fieldOutcome
	fieldSuspect
	fieldForward
	fieldItem
	fieldOver
	fieldUnreached
	// fieldBody holds the fields of messages about slots, which have numbers of their own:
	// every decoded item has room for all fields up to lastField.
	fieldBody
	fieldRank
	lastField = fieldRank
)

// partsPerMillion is the factor by which a fraction is multiplied to be sent as an
// integer.
const partsPerMillion = 1e6

// evidenceUnits is the factor by which evidence is multiplied to be sent as an integer.
const evidenceUnits = 100

// encodeDecisionRequest returns the wire form of a decision request.
func encodeDecisionRequest(m decisionRequest) []byte {
	b := appendNumber(nil, fieldType, decisionRequestType)
	b = appendNumber(b, fieldNumber, m.Number)
	b = appendNumber(b, fieldKind, uint64(m.Kind))
	b = appendText(b, fieldName, m.Name)
	b = appendNumber(b, fieldAmount, uint64(m.Amount))
	b = appendNumber(b, fieldForward, protowire.EncodeBool(m.Forward))
	if m.Origin != "" {
		b = appendText(b, fieldService, string(m.Origin))
	}
	if m.Over > 0 {
		b = appendNumber(b, fieldOver, uint64(m.Over.Milliseconds()))
	}
	if m.Cold {
		b = appendNumber(b, fieldUnreached, protowire.EncodeBool(true))
	}
	if m.Limited {
		b = appendNumber(b, fieldGranted, protowire.EncodeBool(true))
	}
	if m.Rank > 0 {
		b = appendNumber(b, fieldRank, uint64(m.Rank))
	}
	return b
}

// encode returns the wire form of a message.
func encode(m message) []byte {
	switch m := m.(type) {
	case decisionRequest:
		return encodeDecisionRequest(m)
	case decisionResponse:
		b := appendNumber(nil, fieldType, decisionResponseType)
		b = appendNumber(b, fieldNumber, m.Number)
		b = appendNumber(b, fieldGranted, protowire.EncodeBool(m.Granted))
		if m.Unreached {
			b = appendNumber(b, fieldUnreached, protowire.EncodeBool(true))
		}
		return appendNumber(b, fieldRetryAfter, uint64(m.RetryAfter.Milliseconds()))
	case loanRequests:
		b := appendNumber(nil, fieldType, loanRequestsType)
		for _, r := range m.Requests {
			item := encodeLoan(r.Organisation, r.Zone, r.Fraction, r.SentAt)
			b = appendText(b, fieldItem, string(appendNumber(item, fieldForward, protowire.EncodeBool(r.FleetKeeper))))
		}
		b = appendText(b, fieldService, string(m.Borrower))
		return appendNumber(b, fieldForward, protowire.EncodeBool(m.Forward))
	case loanOffers:
		b := appendNumber(nil, fieldType, loanOffersType)
		for _, o := range m.Offers {
			b = appendText(b, fieldItem, string(encodeLoan(o.Organisation, o.Zone, o.Fraction, o.SentAt)))
		}
		return b
	default:
		return encodeReport(m)
	}
}

// encodeReport returns the wire form of a report.
func encodeReport(m message) []byte {
	switch m := m.(type) {
	case failureReport:
		b := appendNumber(nil, fieldType, failureReportType)
		b = appendText(b, fieldService, m.Service)
		b = appendText(b, fieldName, m.Target)
		b = appendNumber(b, fieldOutcome, uint64(m.Outcome))
		if m.Suspect != (quarantine.Fingerprint{}) {
			b = appendText(b, fieldSuspect, string(m.Suspect[:]))
			if m.Incarnation > 0 {
				b = appendNumber(b, fieldNumber, uint64(m.Incarnation))
			}
		}
		if m.Unresponsive {
			b = appendNumber(b, fieldGranted, protowire.EncodeBool(true))
		}
		b = appendAge(b, m.Age)
		return appendNumber(b, fieldForward, protowire.EncodeBool(m.Forward))
	case loadReport:
		b := appendNumber(nil, fieldType, loadReportType)
		for _, l := range m.Loads {
			item := appendText(nil, fieldService, l.Service)
			item = appendText(item, fieldName, l.Target)
			item = appendNumber(item, fieldAmount, uint64(l.Running))
			if evidence := int64(math.Round(l.Evidence * evidenceUnits)); evidence != 0 {
				item = appendNumber(item, fieldNumber, protowire.EncodeZigZag(evidence))
			}
			b = appendText(b, fieldItem, string(item))
		}
		return appendAge(b, m.Age)
	case retryReport:
		b := appendNumber(nil, fieldType, retryReportType)
		for _, t := range m.Totals {
			item := appendText(nil, fieldService, t.Service)
			item = appendNumber(item, fieldAmount, t.Retries)
			b = appendText(b, fieldItem, string(appendNumber(item, fieldNumber, t.Requests)))
		}
		return appendAge(b, m.Age)
	case limitReport:
		b := appendNumber(nil, fieldType, limitReportType)
		b = appendText(b, fieldName, m.Target)
		b = appendNumber(b, fieldGranted, protowire.EncodeBool(m.Limit.Kind == meter.Limited))
		b = appendNumber(b, fieldAmount, uint64(wireLimit(m.Limit)))
		return appendNumber(b, fieldForward, protowire.EncodeBool(m.Forward))
	case linkReport:
		return encodeLinkReport(m)
	case leavingReport:
		return encodeLeavingReport(m)
	}
	return encodeSlotMessage(m)
}

// wireLimit returns a limit in requests per 1000 s.
func wireLimit(l meter.TargetLimit) int {
	return int(math.Round(min(l.PerSecond*1000, math.MaxInt32)))
}

// targetLimitOf returns the limit that is sent as a number of requests per 1000 s.
func targetLimitOf(per1000s int) meter.TargetLimit {
	return meter.TargetLimit{
		Kind:      meter.Limited,
		PerSecond: float64(per1000s) / 1000,
	}
}

// encodeLoan returns the wire form of a loan request or offer: a fraction of an
// organisation's rate.
func encodeLoan(organisation, zone string, fraction float64, sentAt time.Duration) []byte {
	b := appendText(nil, fieldName, organisation)
	b = appendText(b, fieldService, zone)
	b = appendNumber(b, fieldAmount, uint64(math.Round(fraction*partsPerMillion)))
	return appendNumber(b, fieldNumber, uint64(sentAt))
}

// appendAge appends the age of the sender, unless it is below a millisecond.
func appendAge(b []byte, age time.Duration) []byte {
	if age < time.Millisecond {
		return b
	}
	return appendNumber(b, fieldOver, uint64(age.Milliseconds()))
}

func appendNumber(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendText(b []byte, n protowire.Number, v string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// fields holds the decoded fields of a datagram or of one of its items, indexed by
// field number.
type fields struct {
	numbers [lastField + 1]uint64
	texts   [lastField + 1]string
	items   []fields
}

var errMalformed = errors.New("malformed message")

// parseFields decodes all fields of a datagram or item. It skips unknown ones.
func parseFields(b []byte) (fields, error) {
	var f fields
	err := forEachField(b, func(n protowire.Number, v uint64, content []byte) error {
		if n > lastField {
			return nil
		}
		f.numbers[n] = v
		f.texts[n] = string(content)
		if n == fieldItem {
			item, err := parseFields(content)
			f.items = append(f.items, item)
			return err
		}
		return nil
	})
	return f, err
}

// sentAt returns the SentAt of a loan request or offer: when the request was sent, on
// the borrower's clock.
func (f *fields) sentAt() time.Duration {
	return time.Duration(min(f.numbers[fieldNumber], math.MaxInt64))
}

// over returns a time in milliseconds: over which requests were begun, or since the sender
// started.
func (f *fields) over() time.Duration {
	return time.Duration(min(f.numbers[fieldOver], math.MaxInt32)) * time.Millisecond
}

// fraction returns a fraction of a rate, from 0 to 1.
func (f *fields) fraction() float64 { return float64(f.numbers[fieldAmount]) / partsPerMillion }

// decode decodes a datagram. It returns an error if it is malformed or its type
// unknown.
func decode(b []byte) (message, error) {
	f, err := parseFields(b)
	if err != nil {
		return nil, err
	}
	switch f.numbers[fieldType] {
	case decisionRequestType:
		return decisionRequest{
			Number:  f.numbers[fieldNumber],
			Kind:    limitKind(f.numbers[fieldKind]),
			Name:    f.texts[fieldName],
			Amount:  int(min(f.numbers[fieldAmount], math.MaxInt32)),
			Over:    f.over(),
			Cold:    protowire.DecodeBool(f.numbers[fieldUnreached]),
			Limited: protowire.DecodeBool(f.numbers[fieldGranted]),
			Rank:    int(min(f.numbers[fieldRank], math.MaxInt32)),
			Forward: protowire.DecodeBool(f.numbers[fieldForward]),
			Origin:  instance.Address(f.texts[fieldService]),
		}, nil
	case decisionResponseType:
		return decisionResponse{
			Number: f.numbers[fieldNumber],
			Decision: meter.Decision{
				Granted:    protowire.DecodeBool(f.numbers[fieldGranted]),
				RetryAfter: time.Duration(min(f.numbers[fieldRetryAfter], math.MaxInt32)) * time.Millisecond,
			},
			Unreached: protowire.DecodeBool(f.numbers[fieldUnreached]),
		}, nil
	case failureReportType:
		m := failureReport{
			Service:      f.texts[fieldService],
			Target:       f.texts[fieldName],
			Outcome:      target.Outcome(min(f.numbers[fieldOutcome], math.MaxUint8)),
			Age:          f.over(),
			Incarnation:  int64(min(f.numbers[fieldNumber], math.MaxInt64)),
			Unresponsive: protowire.DecodeBool(f.numbers[fieldGranted]),
			Forward:      protowire.DecodeBool(f.numbers[fieldForward]),
		}
		copy(m.Suspect[:], f.texts[fieldSuspect])
		return m, nil
	case loanRequestsType:
		return f.loanRequests(), nil
	case loanOffersType:
		return f.loanOffers(), nil
	case loadReportType:
		return f.loadReport(), nil
	case retryReportType:
		return f.retryReport(), nil
	case limitReportType:
		return f.limitReport(), nil
	case linkReportType:
		return f.linkReport(), nil
	case leavingReportType:
		return f.leavingReport(), nil
	case slotRequestType:
		return decodeSlotRequest(f.texts[fieldBody])
	case slotResponseType:
		return decodeSlotResponse(f.texts[fieldBody])
	case slotReleaseType:
		return decodeSlotRelease(f.texts[fieldBody])
	case zoneLoadType:
		return decodeZoneLoad(f.texts[fieldBody])
	}
	return nil, errors.Wrapf(errMalformed, "unknown type %d", f.numbers[fieldType])
}

func (f *fields) loanRequests() loanRequests {
	m := loanRequests{
		Borrower: instance.Address(f.texts[fieldService]),
		Forward:  protowire.DecodeBool(f.numbers[fieldForward]),
	}
	for _, item := range f.items {
		m.Requests = append(m.Requests, meter.LoanRequest{
			Organisation: item.texts[fieldName],
			Zone:         item.texts[fieldService],
			Fraction:     item.fraction(),
			FleetKeeper:  protowire.DecodeBool(item.numbers[fieldForward]),
			SentAt:       item.sentAt(),
		})
	}
	return m
}

func (f *fields) loanOffers() loanOffers {
	m := loanOffers{}
	for _, item := range f.items {
		m.Offers = append(m.Offers, meter.LoanOffer{
			Organisation: item.texts[fieldName],
			Zone:         item.texts[fieldService],
			Fraction:     item.fraction(),
			SentAt:       item.sentAt(),
		})
	}
	return m
}

func (f *fields) loadReport() loadReport {
	m := loadReport{
		Age: f.over(),
	}
	for _, item := range f.items {
		m.Loads = append(m.Loads, targetLoad{
			Service: item.texts[fieldService],
			Load: outlier.Load{
				Target:   item.texts[fieldName],
				Running:  int(min(item.numbers[fieldAmount], math.MaxInt16)),
				Evidence: float64(protowire.DecodeZigZag(item.numbers[fieldNumber])) / evidenceUnits,
			},
		})
	}
	return m
}

func (f *fields) retryReport() retryReport {
	m := retryReport{
		Age: f.over(),
	}
	for _, item := range f.items {
		m.Totals = append(m.Totals, meter.Totals{
			Service:  item.texts[fieldService],
			Retries:  item.numbers[fieldAmount],
			Requests: item.numbers[fieldNumber],
		})
	}
	return m
}

func (f *fields) limitReport() limitReport {
	m := limitReport{
		Target: f.texts[fieldName],
		Limit: meter.TargetLimit{
			Kind: meter.Unlimited,
		},
		Forward: protowire.DecodeBool(f.numbers[fieldForward]),
	}
	if protowire.DecodeBool(f.numbers[fieldGranted]) {
		m.Limit = targetLimitOf(int(min(f.numbers[fieldAmount], math.MaxInt32)))
	}
	return m
}
