package document

import (
	"fmt"
	"strings"
)

// maximumListedProblems is how many problems an error's text lists.
const maximumListedProblems = 20

// Problem is one thing that is wrong with a document.
type Problem struct {
	Section Section
	// Entry is the entry's name, or its place in the section ("#3") if it has
	// none; empty if the problem is the section's own.
	Entry string
	// Field is the field at fault, or empty.
	Field string
	// Message says what is wrong, with the value and what would be right.
	Message string
}

// String writes the problem on one line.
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

// Problems is an error that holds all that is wrong with a document.
type Problems []Problem

// Error lists the problems, one a line.
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

// forEntry is the reporter for one entry.
func (r reporter) forEntry(name string, index int) reporter {
	r.entry = name
	if name == "" {
		r.entry = fmt.Sprintf("#%d", index+1)
	}
	return r
}

// forNestedEntry is the reporter for an entry inside another.
func (r reporter) forNestedEntry(name string, index int) reporter {
	outer := r.entry
	r = r.forEntry(name, index)
	r.entry = outer + "/" + r.entry
	return r
}

func (r reporter) add(field, format string, arguments ...any) {
	*r.problems = append(*r.problems, Problem{
		Section: r.section,
		Entry:   r.entry,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}
