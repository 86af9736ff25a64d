package gateway

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/zoneload"
)

// slotRequest asks the allocator of a service for a slot at a target.
type slotRequest struct {
	// Number is chosen by the instance that asks. A request that is repeated or forwarded
	// keeps it.
	Number  uint64
	Service string
	// Rank is the request's urgency; zero is the most urgent.
	Rank         int
	Organisation string
	Repeatable   bool
	// Beside is set if another attempt of the request is in progress.
	Beside bool
	// Tried holds the names of the targets of earlier attempts, and Unfit those of other
	// targets that the instance doesn't use for now.
	Tried []string
	Unfit []string
	// Left is the time until the request's deadline, Expected the mean time at a target, or zero
	// if that isn't known, and Objective the latency objective of its route, or zero.
	Left      time.Duration
	Expected  time.Duration
	Objective time.Duration
	// Origin is the instance that waits for the slot if an allocator has forwarded the request
	// to one of another zone, else empty.
	Origin instance.Address
}

// slotVerdict is the answer to a slotRequest.
type slotVerdict uint64

// Values of slotVerdict.
const (
	// slotDeclined leaves the choice to the instance that asked.
	slotDeclined slotVerdict = iota
	slotGranted
	slotWaiting
	slotRefused
)

// String returns the verdict's name for logs.
func (v slotVerdict) String() string {
	switch v {
	case slotGranted:
		return "granted"
	case slotWaiting:
		return "waiting"
	case slotRefused:
		return "refused"
	default:
		return "declined"
	}
}

// slotResponse answers a slotRequest.
type slotResponse struct {
	Number  uint64
	Verdict slotVerdict
	// Target is the target whose slot was granted.
	Target string
	// Wait is the expected wait of a request that waits, and RetryAfter when the caller of a
	// refused one may come back.
	Wait       time.Duration
	RetryAfter time.Duration
	// Reason is that of a refusal, or why a waiting request leaves its zone.
	Reason string
	// Origin is as in the request, in the decline sent to an allocator that forwarded it.
	Origin instance.Address
}

// slotRelease ends the use of a slot, or withdraws a request that waits for one. It goes to the
// allocator that was asked.
type slotRelease struct {
	Number  uint64
	Service string
	// Target is empty if the request has got no slot.
	Target string
	// Hold is how long the target takes no requests.
	Hold time.Duration
	// Unused is set if the target has not run the request to its end, so that the time for which
	// the slot was held says nothing.
	Unused bool
	// uncounted is set if the instance is the allocator itself and its table doesn't count the
	// request any more. It isn't sent.
	uncounted bool
}

// zoneLoadReport is the state of a service in the sender's zone, sent to the service's
// allocators in other zones.
type zoneLoadReport struct {
	zoneload.Report
	// SentAt is the sender's time.
	SentAt time.Duration
	// EchoedAt is the SentAt of the last report that the sender has received from the receiver,
	// on the receiver's clock, and HeldFor how long before this one that was; zero if there was
	// none.
	EchoedAt time.Duration
	HeldFor  time.Duration
	// Vacated is set if the report comes because slots are free again after the sender has
	// declined a request of the receiver's zone.
	Vacated bool
}

func (slotRequest) message()    {}
func (slotResponse) message()   {}
func (slotRelease) message()    {}
func (zoneLoadReport) message() {}

// Field numbers within the fieldBody of messages about slots. Times are in milliseconds, except
// slotFieldSentAt, slotFieldEchoedAt and slotFieldHeldFor, which are in microseconds. A field
// that is absent is zero, false or empty.
const (
	slotFieldNumber protowire.Number = iota + 1
	slotFieldService
	slotFieldRank
	slotFieldOrganisation
	slotFieldRepeatable
	slotFieldBeside
	slotFieldTried
	slotFieldUnfit
	slotFieldLeft
	slotFieldExpected
	slotFieldObjective
	slotFieldOrigin
	slotFieldVerdict
	slotFieldTarget
	slotFieldWait
	slotFieldRetryAfter
	slotFieldReason
	slotFieldHold
	slotFieldZone
	slotFieldTargets
	slotFieldSlots
	slotFieldInUse
	slotFieldWaiting
	slotFieldServiceTime
	slotFieldSentAt
	slotFieldEchoedAt
	slotFieldHeldFor
	slotFieldUnused
	slotFieldVacated
)

// slotBody builds a fieldBody. Its methods leave out fields that are zero.
type slotBody []byte

func (b *slotBody) number(n protowire.Number, v uint64) {
	if v != 0 {
		*b = appendNumber(*b, n, v)
	}
}

func (b *slotBody) text(n protowire.Number, v string) {
	if v != "" {
		*b = appendText(*b, n, v)
	}
}

func (b *slotBody) flag(n protowire.Number, v bool) { b.number(n, protowire.EncodeBool(v)) }

func (b *slotBody) texts(n protowire.Number, list []string) {
	for _, v := range list {
		b.text(n, v)
	}
}

// millis appends a time, rounded up so that a short one isn't taken for none.
func (b *slotBody) millis(n protowire.Number, d time.Duration) {
	b.number(n, uint64(max(d+time.Millisecond-1, 0)/time.Millisecond))
}

func (b *slotBody) micros(n protowire.Number, d time.Duration) {
	b.number(n, uint64(max(d, 0)/time.Microsecond))
}

// datagram returns the wire form of the message of a type with this body.
func (b *slotBody) datagram(messageType uint64) []byte {
	return appendText(appendNumber(nil, fieldType, messageType), fieldBody, string(*b))
}

// encodeSlotMessage returns the wire form of a message about slots.
func encodeSlotMessage(m message) []byte {
	var b slotBody
	switch m := m.(type) {
	case slotRequest:
		b.number(slotFieldNumber, m.Number)
		b.text(slotFieldService, m.Service)
		b.number(slotFieldRank, uint64(max(m.Rank, 0)))
		b.text(slotFieldOrganisation, m.Organisation)
		b.flag(slotFieldRepeatable, m.Repeatable)
		b.flag(slotFieldBeside, m.Beside)
		b.texts(slotFieldTried, m.Tried)
		b.texts(slotFieldUnfit, m.Unfit)
		b.millis(slotFieldLeft, m.Left)
		b.millis(slotFieldExpected, m.Expected)
		b.millis(slotFieldObjective, m.Objective)
		b.text(slotFieldOrigin, string(m.Origin))
		return b.datagram(slotRequestType)
	case slotResponse:
		b.number(slotFieldNumber, m.Number)
		b.number(slotFieldVerdict, uint64(m.Verdict))
		b.text(slotFieldTarget, m.Target)
		b.millis(slotFieldWait, m.Wait)
		b.millis(slotFieldRetryAfter, m.RetryAfter)
		b.text(slotFieldReason, m.Reason)
		b.text(slotFieldOrigin, string(m.Origin))
		return b.datagram(slotResponseType)
	case slotRelease:
		b.number(slotFieldNumber, m.Number)
		b.text(slotFieldService, m.Service)
		b.text(slotFieldTarget, m.Target)
		b.millis(slotFieldHold, m.Hold)
		b.flag(slotFieldUnused, m.Unused)
		return b.datagram(slotReleaseType)
	case zoneLoadReport:
		return encodeZoneLoad(m)
	}
	return nil
}

// wireCount returns a number of a message as an int.
func wireCount(v uint64) int { return int(min(v, math.MaxInt32)) }

// wireMillis returns a time that is sent in milliseconds.
func wireMillis(v uint64) time.Duration {
	return time.Duration(min(v, math.MaxInt32)) * time.Millisecond
}

// wireMicros returns a time that is sent in microseconds.
func wireMicros(v uint64) time.Duration {
	return time.Duration(min(v, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}

// decodeSlotRequest decodes the body of a slotRequest.
func decodeSlotRequest(body string) (message, error) {
	var m slotRequest
	err := forEachField([]byte(body), func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case slotFieldNumber:
			m.Number = v
		case slotFieldService:
			m.Service = string(content)
		case slotFieldRank:
			m.Rank = wireCount(v)
		case slotFieldOrganisation:
			m.Organisation = string(content)
		case slotFieldRepeatable:
			m.Repeatable = protowire.DecodeBool(v)
		case slotFieldBeside:
			m.Beside = protowire.DecodeBool(v)
		case slotFieldTried:
			m.Tried = append(m.Tried, string(content))
		case slotFieldUnfit:
			m.Unfit = append(m.Unfit, string(content))
		case slotFieldLeft:
			m.Left = wireMillis(v)
		case slotFieldExpected:
			m.Expected = wireMillis(v)
		case slotFieldObjective:
			m.Objective = wireMillis(v)
		case slotFieldOrigin:
			m.Origin = instance.Address(content)
		}
		return nil
	})
	return m, err
}

// decodeSlotResponse decodes the body of a slotResponse.
func decodeSlotResponse(body string) (message, error) {
	var m slotResponse
	err := forEachField([]byte(body), func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case slotFieldNumber:
			m.Number = v
		case slotFieldVerdict:
			m.Verdict = slotVerdict(v)
		case slotFieldTarget:
			m.Target = string(content)
		case slotFieldWait:
			m.Wait = wireMillis(v)
		case slotFieldRetryAfter:
			m.RetryAfter = wireMillis(v)
		case slotFieldReason:
			m.Reason = string(content)
		case slotFieldOrigin:
			m.Origin = instance.Address(content)
		}
		return nil
	})
	return m, err
}

// decodeSlotRelease decodes the body of a slotRelease.
func decodeSlotRelease(body string) (message, error) {
	var m slotRelease
	err := forEachField([]byte(body), func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case slotFieldNumber:
			m.Number = v
		case slotFieldService:
			m.Service = string(content)
		case slotFieldTarget:
			m.Target = string(content)
		case slotFieldHold:
			m.Hold = wireMillis(v)
		case slotFieldUnused:
			m.Unused = protowire.DecodeBool(v)
		}
		return nil
	})
	return m, err
}

// encodeZoneLoad returns the wire form of a report to other zones.
func encodeZoneLoad(m zoneLoadReport) []byte {
	var b slotBody
	b.text(slotFieldService, m.Service)
	b.text(slotFieldZone, m.Zone)
	b.number(slotFieldTargets, uint64(m.Targets))
	b.number(slotFieldSlots, uint64(m.Slots))
	b.number(slotFieldInUse, uint64(m.InUse))
	b.number(slotFieldWaiting, uint64(m.Waiting))
	b.millis(slotFieldServiceTime, m.ServiceTime)
	b.micros(slotFieldSentAt, m.SentAt)
	b.micros(slotFieldEchoedAt, m.EchoedAt)
	b.micros(slotFieldHeldFor, m.HeldFor)
	b.flag(slotFieldVacated, m.Vacated)
	return b.datagram(zoneLoadType)
}

// decodeZoneLoad decodes the body of a zoneLoadReport.
func decodeZoneLoad(body string) (message, error) {
	var m zoneLoadReport
	err := forEachField([]byte(body), func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case slotFieldService:
			m.Service = string(content)
		case slotFieldZone:
			m.Zone = string(content)
		case slotFieldTargets:
			m.Targets = wireCount(v)
		case slotFieldSlots:
			m.Slots = wireCount(v)
		case slotFieldInUse:
			m.InUse = wireCount(v)
		case slotFieldWaiting:
			m.Waiting = wireCount(v)
		case slotFieldServiceTime:
			m.ServiceTime = wireMillis(v)
		case slotFieldSentAt:
			m.SentAt = wireMicros(v)
		case slotFieldEchoedAt:
			m.EchoedAt = wireMicros(v)
		case slotFieldHeldFor:
			m.HeldFor = wireMicros(v)
		case slotFieldVacated:
			m.Vacated = protowire.DecodeBool(v)
		}
		return nil
	})
	return m, err
}
