package gateway

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

// message is a datagram between instances: ask, verdict, failure or demands.
type message interface{ message() }

// ask wants a unit of an organisation's rate or a retry of a service's budget.
type ask struct {
	// Number pairs the verdict with the ask.
	Number uint64
	Kind   kind
	// Name is the organisation or the service.
	Name string
	// Amount is the cost in units, or the requests begun since the last ask.
	Amount int
}

// verdict answers an ask.
type verdict struct {
	Number uint64
	meter.Verdict
}

// failure tells of an attempt that failed at a target.
type failure struct {
	Service string
	Target  string
	Outcome target.Outcome
	// Suspect is the request that crashed the target, if one did.
	Suspect quarantine.Fingerprint
	// Pass asks the receiver to tell its own zone.
	Pass bool
}

// demands tells what another zone asks of the organisations' rates.
type demands struct {
	List []meter.Demand
	// Pass asks the receiver to tell the keepers of its zone.
	Pass bool
}

func (ask) message()     {}
func (verdict) message() {}
func (failure) message() {}
func (demands) message() {}

// kind is what an instance keeps for its zone.
type kind uint64

// Values of kind.
const (
	rate kind = iota + 1
	budget
)

// String is the kind in ranks and logs.
func (k kind) String() string {
	if k == rate {
		return "rate"
	}
	return "budget"
}

// Types of datagrams and numbers of their fields.
const (
	askType = iota + 1
	verdictType
	failureType
	demandsType
)

const (
	fieldType protowire.Number = iota + 1
	fieldNumber
	fieldKind
	fieldName
	fieldAmount
	fieldGranted
	fieldWait
	fieldService
	fieldOutcome
	fieldSuspect
	fieldPass
	fieldDemand
)

// perThousand keeps three decimals of a rate in an integer.
const perThousand = 1000

// encode returns the wire form of a message.
func encode(m message) []byte {
	switch m := m.(type) {
	case ask:
		b := number(nil, fieldType, askType)
		b = number(b, fieldNumber, m.Number)
		b = number(b, fieldKind, uint64(m.Kind))
		b = text(b, fieldName, m.Name)
		return number(b, fieldAmount, uint64(m.Amount))
	case verdict:
		b := number(nil, fieldType, verdictType)
		b = number(b, fieldNumber, m.Number)
		b = number(b, fieldGranted, protowire.EncodeBool(m.Granted))
		return number(b, fieldWait, uint64(m.RetryAfter.Milliseconds()))
	case failure:
		b := number(nil, fieldType, failureType)
		b = text(b, fieldService, m.Service)
		b = text(b, fieldName, m.Target)
		b = number(b, fieldOutcome, uint64(m.Outcome))
		if m.Suspect != (quarantine.Fingerprint{}) {
			b = text(b, fieldSuspect, string(m.Suspect[:]))
		}
		return number(b, fieldPass, protowire.EncodeBool(m.Pass))
	case demands:
		b := number(nil, fieldType, demandsType)
		for _, d := range m.List {
			one := text(nil, fieldName, d.Organisation)
			one = text(one, fieldService, d.Zone)
			one = number(one, fieldAmount, uint64(math.Round(d.PerSecond*perThousand)))
			b = text(b, fieldDemand, string(one))
		}
		return number(b, fieldPass, protowire.EncodeBool(m.Pass))
	}
	return nil
}

func number(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func text(b []byte, n protowire.Number, v string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// fields are what a datagram holds, before its type is known.
type fields struct {
	numbers [fieldDemand + 1]uint64
	texts   [fieldDemand + 1]string
	demands []meter.Demand
}

var errMalformed = errors.New("malformed message")

// parse reads all fields. Unknown ones are passed over.
func parse(b []byte) (fields, error) {
	var f fields
	err := eachField(b, func(n protowire.Number, v uint64, content []byte) error {
		if n > fieldDemand {
			return nil
		}
		f.numbers[n] = v
		f.texts[n] = string(content)
		if n == fieldDemand {
			return f.addDemand(content)
		}
		return nil
	})
	return f, err
}

func (f *fields) addDemand(b []byte) error {
	d, err := parse(b)
	if err != nil {
		return err
	}
	f.demands = append(f.demands, meter.Demand{
		Organisation: d.texts[fieldName],
		Zone:         d.texts[fieldService],
		PerSecond:    float64(d.numbers[fieldAmount]) / perThousand,
	})
	return nil
}

// decode reads a datagram.
func decode(b []byte) (message, error) {
	f, err := parse(b)
	if err != nil {
		return nil, err
	}
	switch f.numbers[fieldType] {
	case askType:
		return ask{
			Number: f.numbers[fieldNumber],
			Kind:   kind(f.numbers[fieldKind]),
			Name:   f.texts[fieldName],
			Amount: int(min(f.numbers[fieldAmount], math.MaxInt32)),
		}, nil
	case verdictType:
		return verdict{
			Number: f.numbers[fieldNumber],
			Verdict: meter.Verdict{
				Granted:    protowire.DecodeBool(f.numbers[fieldGranted]),
				RetryAfter: time.Duration(min(f.numbers[fieldWait], math.MaxInt32)) * time.Millisecond,
			},
		}, nil
	case failureType:
		m := failure{
			Service: f.texts[fieldService],
			Target:  f.texts[fieldName],
			Outcome: target.Outcome(min(f.numbers[fieldOutcome], math.MaxUint8)),
			Pass:    protowire.DecodeBool(f.numbers[fieldPass]),
		}
		copy(m.Suspect[:], f.texts[fieldSuspect])
		return m, nil
	case demandsType:
		return demands{
			List: f.demands,
			Pass: protowire.DecodeBool(f.numbers[fieldPass]),
		}, nil
	}
	return nil, errors.Wrapf(errMalformed, "type %d", f.numbers[fieldType])
}
