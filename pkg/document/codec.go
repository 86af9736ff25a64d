package document

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// maximumContentBytes is the maximum size of the content that Decode accepts.
const maximumContentBytes = 64 << 20

// Errors of decoding and of section names.
var (
	// ErrMalformed means that content is not an encoded document.
	ErrMalformed = errors.New("not a document")
	// ErrUnknownSection means that no section has the given name.
	ErrUnknownSection = errors.New("no such section")
)

// wireDocument is the JSON encoding of any number of sections. A section that is
// absent is nil.
type wireDocument struct {
	Organisations *[]wireOrganisation
	Rates         *[]wireRate
	Routes        *[]wireRoute
	Services      *[]wireService
	Policy        *wirePolicy
}

// ParseSection returns the section with the given name, regardless of case. The
// error wraps ErrUnknownSection.
func ParseSection(name string) (Section, error) {
	for _, s := range Sections {
		if strings.EqualFold(string(s), name) {
			return s, nil
		}
	}
	return "", errors.Wrapf(ErrUnknownSection, "%q is none of %v", name, Sections)
}

// Decode reads content that holds one or more sections, and also returns which
// sections these are. The others are empty. The error is of type Problems if
// values can't be parsed; otherwise it wraps ErrMalformed.
func Decode(content []byte) (Document, []Section, error) {
	if len(content) > maximumContentBytes {
		return Document{}, nil, errors.Wrapf(ErrMalformed, "%d bytes exceed the limit of %d", len(content), maximumContentBytes)
	}
	if err := checkDuplicates(content); err != nil {
		return Document{}, nil, err
	}
	wire, err := decodeWire(content)
	if err != nil {
		return Document{}, nil, err
	}
	d, problems := wire.toDocument()
	if len(problems) > 0 {
		return Document{}, nil, Problems(problems)
	}
	return d, wire.sections(), nil
}

// Encode returns one section as indented JSON, which Decode reads. The error
// wraps ErrUnknownSection or ErrMalformed.
func Encode(d Document, s Section) ([]byte, error) {
	wire, err := toWireSection(d, s)
	if err != nil {
		return nil, err
	}
	content, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return append(content, '\n'), nil
}

// Replace returns d with the section s taken from another document.
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

// decodeWire decodes JSON content that holds at least one section and nothing
// else.
func decodeWire(content []byte) (wireDocument, error) {
	var wire wireDocument
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return wireDocument{}, errors.Wrap(ErrMalformed, describeJSONError(err, content))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return wireDocument{}, errors.Wrap(ErrMalformed, "content after the end of the document")
	}
	if len(wire.sections()) == 0 {
		return wireDocument{}, errors.Wrap(ErrMalformed, "it holds none of Organisations, Rates, Routes, Services, Policy")
	}
	return wire, nil
}

// describeJSONError returns the decoder's message, preceded by the line number if
// the error has an offset.
func describeJSONError(err error, content []byte) string {
	message := strings.TrimPrefix(err.Error(), "json: ")
	offset := int64(-1)
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
		message = "field " + mismatch.Field + " can't be a " + mismatch.Value
	}
	if offset < 0 || offset > int64(len(content)) {
		return message
	}
	line := 1 + bytes.Count(content[:offset], []byte("\n"))
	return errors.Errorf("line %d: %s", line, message).Error()
}

// sections returns the sections that are present, in the order of the document.
func (w wireDocument) sections() []Section {
	var list []Section
	for _, s := range Sections {
		if w.has(s) {
			list = append(list, s)
		}
	}
	return list
}

func (w wireDocument) has(s Section) bool {
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

// toDocument converts all sections that are present. It also returns the values
// that can't be parsed.
func (w wireDocument) toDocument() (Document, []Problem) {
	var (
		d        Document
		problems []Problem
	)
	if w.Organisations != nil {
		d.Organisations = convertEntries(*w.Organisations, newReporter(Organisations, &problems), wireOrganisation.toOrganisation)
	}
	if w.Rates != nil {
		d.Rates = convertEntries(*w.Rates, newReporter(Rates, &problems), wireRate.toRate)
	}
	if w.Routes != nil {
		d.Routes = convertEntries(*w.Routes, newReporter(Routes, &problems), wireRoute.toRoute)
	}
	if w.Services != nil {
		d.Services = convertEntries(*w.Services, newReporter(Services, &problems), wireService.toService)
	}
	if w.Policy != nil {
		d.Policy = w.Policy.toPolicy(newReporter(PolicySection, &problems))
	}
	return d, problems
}

func newReporter(s Section, problems *[]Problem) reporter {
	return reporter{
		section:  s,
		problems: problems,
	}
}

// convertEntries converts the entries of a section, passing each its index and
// the reporter for values that can't be parsed.
func convertEntries[W, D any](list []W, r reporter, convert func(W, int, reporter) D) []D {
	mapped := make([]D, len(list))
	for i, w := range list {
		mapped[i] = convert(w, i, r)
	}
	return mapped
}

// toWireSection returns the JSON encoding of one section, as a value for
// json.Marshal.
func toWireSection(d Document, s Section) (any, error) {
	switch s {
	case Organisations:
		return struct{ Organisations []wireOrganisation }{mapSlice(d.Organisations, toWireOrganisation)}, nil
	case Rates:
		return struct{ Rates []wireRate }{mapSlice(d.Rates, toWireRate)}, nil
	case Routes:
		return struct{ Routes []wireRoute }{mapSlice(d.Routes, toWireRoute)}, nil
	case Services:
		return struct{ Services []wireService }{mapSlice(d.Services, toWireService)}, nil
	case PolicySection:
		return struct{ Policy wirePolicy }{toWirePolicy(d.Policy)}, nil
	}
	return nil, errors.Wrapf(ErrUnknownSection, "%q is none of %v", s, Sections)
}

func mapSlice[D, W any](list []D, convert func(D) W) []W {
	mapped := make([]W, len(list))
	for i, d := range list {
		mapped[i] = convert(d)
	}
	return mapped
}

// checkDuplicates rejects a name that appears twice in one object: encoding/json
// would take the last one and silently drop the other.
func checkDuplicates(content []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var stack []openValue
	for {
		token, err := decoder.Token()
		if err != nil {
			// Decode reports syntax errors later.
			return nil
		}
		if delimiter, ok := token.(json.Delim); ok {
			stack = updateStack(stack, delimiter)
			continue
		}
		name, repeated := recordName(stack, token)
		if repeated {
			line := 1 + bytes.Count(content[:decoder.InputOffset()], []byte("\n"))
			return errors.Wrapf(ErrMalformed, "line %d: %q appears twice", line, name)
		}
	}
}

// openValue is an object or array whose end has not been read yet.
type openValue struct {
	// names are the lower-case names read so far; nil for an array.
	names map[string]bool
	// expectsValue is set while the next token of an object is a value, not a
	// name.
	expectsValue bool
}

// updateStack pushes the object or array that a delimiter opens, or pops the one
// that it closes.
func updateStack(stack []openValue, delimiter json.Delim) []openValue {
	switch delimiter {
	case '{':
		return append(stack, openValue{
			names: map[string]bool{},
		})
	case '[':
		return append(stack, openValue{})
	}
	stack = stack[:len(stack)-1]
	if len(stack) > 0 {
		stack[len(stack)-1].expectsValue = false
	}
	return stack
}

// recordName records a token that is a name of the innermost object, and reports
// whether the object has that name already. Like encoding/json, it ignores case.
func recordName(stack []openValue, token json.Token) (name string, repeated bool) {
	if len(stack) == 0 || stack[len(stack)-1].names == nil {
		return "", false
	}
	o := &stack[len(stack)-1]
	if o.expectsValue {
		o.expectsValue = false
		return "", false
	}
	o.expectsValue = true
	name, _ = token.(string)
	folded := strings.ToLower(name)
	repeated = o.names[folded]
	o.names[folded] = true
	return name, repeated
}
