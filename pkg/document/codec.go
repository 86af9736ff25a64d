package document

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// maximumContent bounds what Decode reads, in bytes.
const maximumContent = 64 << 20

// Errors of the forms.
var (
	// ErrMalformed says that content is not in the form of a document.
	ErrMalformed = errors.New("not a document")
	// ErrUnknownSection says that there is no section of that name.
	ErrUnknownSection = errors.New("no such section")
)

// wireDocument is the form of any number of sections.
type wireDocument struct {
	Organisations *[]wireOrganisation
	Rates         *[]wireRate
	Routes        *[]wireRoute
	Services      *[]wireService
	Policy        *wirePolicy
}

// ParseSection finds a section by its name, whatever the case of its letters.
// The error wraps ErrUnknownSection.
func ParseSection(name string) (Section, error) {
	for _, s := range Sections {
		if strings.EqualFold(string(s), name) {
			return s, nil
		}
	}
	return "", errors.Wrapf(ErrUnknownSection, "%q is none of %v", name, Sections)
}

// Decode reads content that holds one or more sections, and returns which.
// Sections that it doesn't hold stay empty. The error is of type Problems if
// values can't be read, else it wraps ErrMalformed.
func Decode(content []byte) (Document, []Section, error) {
	if len(content) > maximumContent {
		return Document{}, nil, errors.Wrapf(ErrMalformed, "%d bytes are over %d", len(content), maximumContent)
	}
	if err := checkDuplicates(content); err != nil {
		return Document{}, nil, err
	}
	wire, err := decodeWire(content)
	if err != nil {
		return Document{}, nil, err
	}
	d, problems := wire.document()
	if len(problems) > 0 {
		return Document{}, nil, Problems(problems)
	}
	return d, wire.sections(), nil
}

// Encode writes one section, indented, as Decode reads it.
func Encode(d Document, s Section) ([]byte, error) {
	wire, err := sectionWire(d, s)
	if err != nil {
		return nil, err
	}
	content, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return append(content, '\n'), nil
}

// Replace returns d with one section taken from another document.
func Replace(d Document, s Section, from Document) Document {
	switch s {
	case Organisations:
		d.Organisations = from.Organisations
	case Rates:
		d.Rates = from.Rates
	case Routes:
		d.Routes = from.Routes
	case Services:
		d.Services = from.Services
	case PolicySection:
		d.Policy = from.Policy
	}
	return d
}

func decodeWire(content []byte) (wireDocument, error) {
	var wire wireDocument
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return wireDocument{}, errors.Wrap(ErrMalformed, describe(err, content))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return wireDocument{}, errors.Wrap(ErrMalformed, "content after the end of the document")
	}
	if len(wire.sections()) == 0 {
		return wireDocument{}, errors.Wrap(ErrMalformed, "it holds none of Organisations, Rates, Routes, Services, Policy")
	}
	return wire, nil
}

// describe adds the line to the decoder's message where it knows the place.
func describe(err error, content []byte) string {
	message := strings.TrimPrefix(err.Error(), "json: ")
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
		message = "field " + kind.Field + " can't be a " + kind.Value
	}
	if offset < 0 || offset > int64(len(content)) {
		return message
	}
	line := 1 + bytes.Count(content[:offset], []byte("\n"))
	return errors.Errorf("line %d: %s", line, message).Error()
}

func (w wireDocument) sections() []Section {
	var list []Section
	for _, s := range Sections {
		if w.holds(s) {
			list = append(list, s)
		}
	}
	return list
}

func (w wireDocument) holds(s Section) bool {
	switch s {
	case Organisations:
		return w.Organisations != nil
	case Rates:
		return w.Rates != nil
	case Routes:
		return w.Routes != nil
	case Services:
		return w.Services != nil
	case PolicySection:
		return w.Policy != nil
	}
	return false
}

// document maps all sections that are there.
func (w wireDocument) document() (Document, []Problem) {
	var (
		d        Document
		problems []Problem
	)
	if w.Organisations != nil {
		d.Organisations = mapEach(*w.Organisations, reporterOf(Organisations, &problems), wireOrganisation.domain)
	}
	if w.Rates != nil {
		d.Rates = mapEach(*w.Rates, reporterOf(Rates, &problems), wireRate.domain)
	}
	if w.Routes != nil {
		d.Routes = mapEach(*w.Routes, reporterOf(Routes, &problems), wireRoute.domain)
	}
	if w.Services != nil {
		d.Services = mapEach(*w.Services, reporterOf(Services, &problems), wireService.domain)
	}
	if w.Policy != nil {
		d.Policy = w.Policy.domain(reporterOf(PolicySection, &problems))
	}
	return d, problems
}

func reporterOf(s Section, problems *[]Problem) reporter {
	return reporter{
		section:  s,
		problems: problems,
	}
}

func mapEach[W, D any](list []W, r reporter, domain func(W, int, reporter) D) []D {
	mapped := make([]D, len(list))
	for i, w := range list {
		mapped[i] = domain(w, i, r)
	}
	return mapped
}

// sectionWire is the form of one section.
func sectionWire(d Document, s Section) (any, error) {
	switch s {
	case Organisations:
		return struct{ Organisations []wireOrganisation }{mapAll(d.Organisations, organisationWire)}, nil
	case Rates:
		return struct{ Rates []wireRate }{mapAll(d.Rates, rateWire)}, nil
	case Routes:
		return struct{ Routes []wireRoute }{mapAll(d.Routes, routeWire)}, nil
	case Services:
		return struct{ Services []wireService }{mapAll(d.Services, serviceWire)}, nil
	case PolicySection:
		return struct{ Policy wirePolicy }{policyWire(d.Policy)}, nil
	}
	return nil, errors.Wrapf(ErrUnknownSection, "%q is none of %v", s, Sections)
}

func mapAll[D, W any](list []D, wire func(D) W) []W {
	mapped := make([]W, len(list))
	for i, d := range list {
		mapped[i] = wire(d)
	}
	return mapped
}

// checkDuplicates refuses a name that stands twice in one object: the JSON
// library would take the last one and drop the other in silence.
func checkDuplicates(content []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var open []object
	for {
		token, err := decoder.Token()
		if err != nil {
			// The decoding proper reports what is wrong with the syntax.
			return nil
		}
		if delimiter, ok := token.(json.Delim); ok {
			open = nest(open, delimiter)
			continue
		}
		name, repeated := repeats(open, token)
		if repeated {
			line := 1 + bytes.Count(content[:decoder.InputOffset()], []byte("\n"))
			return errors.Wrapf(ErrMalformed, "line %d: %q stands twice", line, name)
		}
	}
}

// object is an object or array under way.
type object struct {
	// names is nil for an array.
	names map[string]bool
	// value is set while the object's next token is a value.
	value bool
}

func nest(open []object, delimiter json.Delim) []object {
	switch delimiter {
	case '{':
		return append(open, object{
			names: map[string]bool{},
		})
	case '[':
		return append(open, object{})
	}
	open = open[:len(open)-1]
	if len(open) > 0 {
		open[len(open)-1].value = false
	}
	return open
}

// repeats notes a name, and tells whether its object has it already. Names
// match whatever the case of their letters, as in the JSON library.
func repeats(open []object, token json.Token) (name string, repeated bool) {
	if len(open) == 0 || open[len(open)-1].names == nil {
		return "", false
	}
	o := &open[len(open)-1]
	if o.value {
		o.value = false
		return "", false
	}
	o.value = true
	name, _ = token.(string)
	folded := strings.ToLower(name)
	repeated = o.names[folded]
	o.names[folded] = true
	return name, repeated
}
