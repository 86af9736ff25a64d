package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionmux/internal/operator"
	"dandelionmux/pkg/document"
)

// maxFileBytes is the maximum size of an input file.
const maxFileBytes = 64 << 20

// latest as the value of -revision overwrites a section whatever its revision is.
const latest = "latest"

func (p *program) validateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "dandelionctl validate [flags] FILE...",
		ShortHelp:  "Check files and list all problems in them.",
		LongHelp: "Each file holds one or more sections; \"-\" is the standard input. With -store, the other\n" +
			"sections are read from the store; without it, they are empty. Nothing is written.",
		FlagSet: p.flags("dandelionctl validate"),
		Exec: func(ctx context.Context, files []string) error {
			return p.validate(ctx, files)
		},
	}
}

func (p *program) validate(ctx context.Context, files []string) error {
	if len(files) == 0 {
		return errors.Wrap(errUsage, "the names of files are missing")
	}
	d := document.Document{
		Policy: document.DefaultPolicy(),
	}
	if p.settings.store != "" {
		e, client, err := p.settings.newEditor()
		if err != nil {
			return err
		}
		defer client.Close()
		snapshot, err := e.Read(ctx)
		if err != nil {
			return err
		}
		d = snapshot.Document
	}
	for _, file := range files {
		part, sections, err := p.readFile(file)
		if err != nil {
			return err
		}
		for _, s := range sections {
			d = document.Replace(d, s, part)
		}
	}
	if problems := document.Validate(d); len(problems) > 0 {
		return document.Problems(problems)
	}
	return p.print(struct{ Valid bool }{true}, "valid\n")
}

// readFile reads a file with one or more sections, or the standard input if the file
// is "-". It returns a document with these sections, and their names.
func (p *program) readFile(file string) (document.Document, []document.Section, error) {
	source := p.stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return document.Document{}, nil, errors.Wrap(errUsage, err.Error())
		}
		defer func() { _ = opened.Close() }()
		source = opened
	}
	content, err := io.ReadAll(io.LimitReader(source, maxFileBytes+1))
	if err != nil {
		return document.Document{}, nil, errors.Wrap(errUsage, err.Error())
	}
	d, sections, err := document.Decode(content)
	if err != nil {
		return d, nil, errors.Wrap(err, file)
	}
	return d, sections, nil
}

// print writes a result to the standard output: as JSON if -output asks for it, and
// otherwise as text with the format and its arguments.
func (p *program) print(result any, format string, arguments ...any) error {
	if p.settings.output == outputJSON {
		return json.NewEncoder(p.stdout).Encode(result)
	}
	_, err := fmt.Fprintf(p.stdout, format, arguments...)
	return err
}

func (p *program) getCommand() *ffcli.Command {
	flags := p.flags("dandelionctl get")
	at := flags.Uint64("at", 0, "show the section at this revision; 0 is the newest")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "dandelionctl get [flags] SECTION",
		ShortHelp:  "Print a section, and its revision on the standard error.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.Wrapf(errUsage, "arguments %q are not one section of %v", arguments, document.Sections)
			}
			return p.get(ctx, arguments[0], *at)
		},
	}
}

// sectionOutput is the output of get with -output json.
type sectionOutput struct {
	Revision uint64
	Section  document.Section
	Content  json.RawMessage
}

func (p *program) get(ctx context.Context, name string, at uint64) error {
	section, err := document.ParseSection(name)
	if err != nil {
		return err
	}
	e, client, err := p.settings.newEditor()
	if err != nil {
		return err
	}
	defer client.Close()
	read := e.Read
	if at != 0 {
		read = func(ctx context.Context) (operator.Snapshot, error) { return e.ReadAt(ctx, at) }
	}
	snapshot, err := read(ctx)
	if err != nil {
		return err
	}
	content, err := document.Encode(snapshot.Document, section)
	if err != nil {
		return err
	}
	if p.settings.output != outputJSON {
		_, _ = fmt.Fprintf(p.stderr, "revision %d\n", snapshot.Head.Number)
	}
	return p.print(sectionOutput{
		Revision: snapshot.Head.Number,
		Section:  section,
		Content:  content,
	}, "%s", content)
}

func (p *program) setCommand() *ffcli.Command {
	flags := p.flags("dandelionctl set")
	base := flags.String("revision", "0", "the revision at which you read the section; 0 if it is new, \"latest\" to overwrite any revision")
	return &ffcli.Command{
		Name:       "set",
		ShortUsage: "dandelionctl set [flags] SECTION FILE [SECTION FILE ...]",
		ShortHelp:  "Replace sections in one atomic change, after checking the whole document.",
		LongHelp: "A file \"-\" is the standard input. Changes by others to other sections are kept. If one\n" +
			"of these sections changed after the given revision, nothing is written.\n\n" + exitHelp,
		FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			return p.set(ctx, *base, arguments)
		},
	}
}

func (p *program) set(ctx context.Context, base string, arguments []string) error {
	change, err := p.readChange(arguments)
	if err != nil {
		return err
	}
	if change.Base, err = parseBase(base); err != nil {
		return err
	}
	e, client, err := p.settings.newEditor()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := e.Set(ctx, change)
	if err != nil {
		return err
	}
	outcome := "accepted; it comes into force on all instances within seconds"
	if result.Unchanged {
		outcome = "already there, nothing was written"
	}
	return p.print(result, "revision %d: %v %s\n", result.Revision, result.Sections, outcome)
}

// readChange reads the sections of a change from arguments of the form SECTION FILE
// [SECTION FILE ...]. Each file must hold exactly the section named before it.
func (p *program) readChange(arguments []string) (operator.Change, error) {
	if len(arguments) == 0 || len(arguments)%2 != 0 {
		return operator.Change{}, errors.Wrapf(errUsage, "arguments %q are not pairs of SECTION FILE", arguments)
	}
	var change operator.Change
	for i := 0; i < len(arguments); i += 2 {
		section, err := document.ParseSection(arguments[i])
		if err != nil {
			return operator.Change{}, err
		}
		d, sections, err := p.readFile(arguments[i+1])
		if err != nil {
			return operator.Change{}, err
		}
		if len(sections) != 1 || sections[0] != section {
			return operator.Change{}, errors.Wrapf(document.ErrMalformed, "%s must hold only section %s, but holds %v", arguments[i+1], section, sections)
		}
		change.Sections = append(change.Sections, section)
		change.Document = document.Replace(change.Document, section, d)
	}
	return change, nil
}

// parseBase parses the value of -revision, which is a revision number or latest.
func parseBase(text string) (uint64, error) {
	if text == latest {
		return operator.Latest, nil
	}
	base, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errors.Wrapf(errUsage, "-revision %q is neither a number nor latest", text)
	}
	return base, nil
}

func (p *program) historyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "dandelionctl history [flags]",
		ShortHelp:  "List the revisions in the store, newest first.",
		LongHelp:   "To restore an older revision N of a section, run get -at N SECTION and set its output.",
		FlagSet:    p.flags("dandelionctl history"),
		Exec: withoutArguments(func(ctx context.Context) error {
			e, client, err := p.settings.newEditor()
			if err != nil {
				return err
			}
			defer client.Close()
			list, err := e.Revisions(ctx)
			if err != nil {
				return err
			}
			return p.printHistory(list)
		}),
	}
}

func (p *program) printHistory(list []operator.Revision) error {
	if p.settings.output == outputJSON {
		return json.NewEncoder(p.stdout).Encode(list)
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tAT\tAUTHOR\tSECTIONS")
	for _, r := range list {
		names := make([]string, len(r.Sections))
		for i, s := range r.Sections {
			names[i] = string(s)
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", r.Number, r.At.UTC().Format(time.RFC3339), r.Author, strings.Join(names, " "))
	}
	return table.Flush()
}
