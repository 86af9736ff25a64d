package document

import (
	"fmt"
	"strings"
)

// maximumListedProblems is the maximum number of problems in the text of an error.
const maximumListedProblems = 20

// Problem describes one invalid value of a document.
type Problem struct {
	Section Section
	// Entry is the name of the entry, or its number in the section ("#3") if it
	// has no name. It is empty if the problem concerns the whole section.
	Entry string
	// Field is the invalid field, or empty.
	Field string
	// Message says what is wrong with which value, and what is valid.
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(string(p.Section))
	if p.Entry != "" {
		fmt.Fprintf(&b, " %q", p.Entry)
	}
	if p.Field != "" {
		b.WriteString(" " + p.Field)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is an error that holds all problems of a document.
type Problems []Problem

// Error lists the problems, one per line, up to maximumListedProblems.
func (p Problems) Error() string {
	var lines []string
	for i, problem := range p {
		if i == maximumListedProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-i))
			break
		}
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// reporter collects problems of one section.
type reporter struct {
	section  Section
	entry    string
	problems *[]Problem
}

// forEntry returns the reporter for the entry with the given name and index.
func (r reporter) forEntry(name string, index int) reporter {
	r.entry = name
	if name == "" {
		r.entry = fmt.Sprintf("#%d", index+1)
	}
	return r
}

// forNestedEntry returns the reporter for an entry inside the current one.
func (r reporter) forNestedEntry(name string, index int) reporter {
	outer := r.entry
	r = r.forEntry(name, index)
	r.entry = outer + "/" + r.entry
	return r
}

// add appends a problem with a field of the current entry.
func (r reporter) add(field, format string, arguments ...any) {
	*r.problems = append(*r.problems, Problem{
		Section: r.section,
		Entry:   r.entry,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}
