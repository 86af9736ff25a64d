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

// message is a datagram between instances: ask, verdict, failure, wants, offers
// or loads.
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
	meter.Decision
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
	List []meter.LoanRequest
	// Borrower is the keeper to whom offers go.
	Borrower instance.Address
	// Pass asks the receiver to tell the keepers of its zone.
	Pass bool
}

// offers tells what another zone lends.
type offers struct {
	List []meter.LoanOffer
}

// loads tells what the sender has running at targets.
type loads struct {
	List []load
}

// load is one target's.
type load struct {
	Service string
	outlier.Load
}

// loadOverhead is what a load takes in a datagram beside its names, in bytes: tags,
// lengths and the count.
const loadOverhead = 12

// split spreads loads over as many messages as it takes for each to fit a datagram,
// one at least.
func split(list []load) []loads {
	all := []loads{{}}
	size := loadOverhead
	for _, l := range list {
		one := len(l.Service) + len(l.Target) + loadOverhead
		if size+one > datagramBytes {
			all = append(all, loads{})
			size = loadOverhead
		}
		last := &all[len(all)-1]
		last.List = append(last.List, l)
		size += one
	}
	return all
}

func (ask) message()     {}
func (verdict) message() {}
func (failure) message() {}
func (wants) message()   {}
func (offers) message()  {}
func (loads) message()   {}

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
	loadsType
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
			one := part(w.Organisation, w.Zone, w.Fraction, w.SentAt)
			b = text(b, fieldPart, string(number(one, fieldPass, protowire.EncodeBool(w.FleetKeeper))))
		}
		b = text(b, fieldService, string(m.Borrower))
		return number(b, fieldPass, protowire.EncodeBool(m.Pass))
	case offers:
		b := number(nil, fieldType, offersType)
		for _, o := range m.List {
			b = text(b, fieldPart, string(part(o.Organisation, o.Zone, o.Fraction, o.SentAt)))
		}
		return b
	case loads:
		b := number(nil, fieldType, loadsType)
		for _, l := range m.List {
			one := text(nil, fieldService, l.Service)
			one = text(one, fieldName, l.Target)
			b = text(b, fieldPart, string(number(one, fieldAmount, uint64(l.Running))))
		}
		return b
	}
	return nil
}

// part is a part of an organisation's rate.
func part(organisation, zone string, share float64, sent time.Duration) []byte {
	b := text(nil, fieldName, organisation)
	b = text(b, fieldService, zone)
	b = number(b, fieldAmount, uint64(math.Round(share*perMillion)))
	return number(b, fieldNumber, uint64(sent))
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
	parts   []fields
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
			one, err := parse(content)
			f.parts = append(f.parts, one)
			return err
		}
		return nil
	})
	return f, err
}

// sent is when a want was sent, on its sender's clock.
func (f *fields) sent() time.Duration {
	return time.Duration(min(f.numbers[fieldNumber], math.MaxInt64))
}

// share is a part of a rate, from 0 to 1.
func (f *fields) share() float64 { return float64(f.numbers[fieldAmount]) / perMillion }

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
			Decision: meter.Decision{
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
		return f.wants(), nil
	case offersType:
		return f.offers(), nil
	case loadsType:
		return f.loads(), nil
	}
	return nil, errors.Wrapf(errMalformed, "type %d", f.numbers[fieldType])
}

func (f *fields) wants() wants {
	m := wants{
		Borrower: instance.Address(f.texts[fieldService]),
		Pass:     protowire.DecodeBool(f.numbers[fieldPass]),
	}
	for _, p := range f.parts {
		m.List = append(m.List, meter.LoanRequest{
			Organisation: p.texts[fieldName],
			Zone:         p.texts[fieldService],
			Fraction:     p.share(),
			FleetKeeper:  protowire.DecodeBool(p.numbers[fieldPass]),
			SentAt:       p.sent(),
		})
	}
	return m
}

func (f *fields) offers() offers {
	m := offers{}
	for _, p := range f.parts {
		m.List = append(m.List, meter.LoanOffer{
			Organisation: p.texts[fieldName],
			Zone:         p.texts[fieldService],
			Fraction:     p.share(),
			SentAt:       p.sent(),
		})
	}
	return m
}

func (f *fields) loads() loads {
	m := loads{}
	for _, p := range f.parts {
		m.List = append(m.List, load{
			Service: p.texts[fieldService],
			Load: outlier.Load{
				Target:  p.texts[fieldName],
				Running: int(min(p.numbers[fieldAmount], math.MaxInt16)),
			},
		})
	}
	return m
}
