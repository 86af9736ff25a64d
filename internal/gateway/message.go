package gateway

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

// message is a datagram between instances: ask, verdict, failure, wants or
// offers.
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
	// Pass asks the receiver to pass the ask on if it knows another keeper.
	Pass bool
	// Origin is who asked, if another instance passes the ask on.
	Origin instance.Address
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

// wants tells what another zone lacks of the organisations' rates.
type wants struct {
	List []meter.Want
	// Borrower is the keeper to whom offers go.
	Borrower instance.Address
	// Pass asks the receiver to tell the keepers of its zone.
	Pass bool
}

// offers tells what another zone lends.
type offers struct {
	List []meter.Offer
}

func (ask) message()     {}
func (verdict) message() {}
func (failure) message() {}
func (wants) message()   {}
func (offers) message()  {}

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
	wantsType
	offersType
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
	fieldPart
)

// perMillion keeps six decimals of a part in an integer.
const perMillion = 1e6

// encode returns the wire form of a message.
func encode(m message) []byte {
	switch m := m.(type) {
	case ask:
		b := number(nil, fieldType, askType)
		b = number(b, fieldNumber, m.Number)
		b = number(b, fieldKind, uint64(m.Kind))
		b = text(b, fieldName, m.Name)
		b = number(b, fieldAmount, uint64(m.Amount))
		b = number(b, fieldPass, protowire.EncodeBool(m.Pass))
		if m.Origin != "" {
			b = text(b, fieldService, string(m.Origin))
		}
		return b
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
	case wants:
		b := number(nil, fieldType, wantsType)
		for _, w := range m.List {
			b = part(b, w)
		}
		b = text(b, fieldService, string(m.Borrower))
		return number(b, fieldPass, protowire.EncodeBool(m.Pass))
	case offers:
		b := number(nil, fieldType, offersType)
		for _, o := range m.List {
			b = part(b, meter.Want{
				Organisation: o.Organisation,
				Zone:         o.Zone,
				Part:         o.Part,
				Sent:         o.Sent,
			})
		}
		return b
	}
	return nil
}

// part appends a part of an organisation's rate.
func part(b []byte, w meter.Want) []byte {
	one := text(nil, fieldName, w.Organisation)
	one = text(one, fieldService, w.Zone)
	one = number(one, fieldAmount, uint64(math.Round(w.Part*perMillion)))
	one = number(one, fieldPass, protowire.EncodeBool(w.Keeper))
	one = number(one, fieldNumber, uint64(w.Sent))
	return text(b, fieldPart, string(one))
}

func number(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func text(b []byte, n protowire.Number, v string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// fields are what a datagram holds, before its type is known.
type fields struct {
	numbers [fieldPart + 1]uint64
	texts   [fieldPart + 1]string
	parts   []meter.Want
}

var errMalformed = errors.New("malformed message")

// parse reads all fields. Unknown ones are passed over.
func parse(b []byte) (fields, error) {
	var f fields
	err := eachField(b, func(n protowire.Number, v uint64, content []byte) error {
		if n > fieldPart {
			return nil
		}
		f.numbers[n] = v
		f.texts[n] = string(content)
		if n == fieldPart {
			return f.addPart(content)
		}
		return nil
	})
	return f, err
}

func (f *fields) addPart(b []byte) error {
	p, err := parse(b)
	if err != nil {
		return err
	}
	f.parts = append(f.parts, meter.Want{
		Organisation: p.texts[fieldName],
		Zone:         p.texts[fieldService],
		Part:         float64(p.numbers[fieldAmount]) / perMillion,
		Keeper:       protowire.DecodeBool(p.numbers[fieldPass]),
		Sent:         time.Duration(min(p.numbers[fieldNumber], math.MaxInt64)),
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
			Pass:   protowire.DecodeBool(f.numbers[fieldPass]),
			Origin: instance.Address(f.texts[fieldService]),
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
	case wantsType:
		return wants{
			List:     f.parts,
			Borrower: instance.Address(f.texts[fieldService]),
			Pass:     protowire.DecodeBool(f.numbers[fieldPass]),
		}, nil
	case offersType:
		m := offers{}
		for _, p := range f.parts {
			m.List = append(m.List, meter.Offer{
				Organisation: p.Organisation,
				Zone:         p.Zone,
				Part:         p.Part,
				Sent:         p.Sent,
			})
		}
		return m, nil
	}
	return nil, errors.Wrapf(errMalformed, "type %d", f.numbers[fieldType])
}
