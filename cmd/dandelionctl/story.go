package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionmux/internal/story"
)

func (p *program) storyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "story",
		ShortUsage: "dandelionctl story REQUEST [LOG ...]",
		ShortHelp:  "Tell from the instances' logs what became of a request.",
		LongHelp: "Prints, in the order of their times, the lines that name the request, and what was\n" +
			"seen of its targets shortly before. Without files it reads the standard input.",
		FlagSet: p.flags("dandelionctl story"),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) == 0 {
				return errors.Wrap(errUsage, "a request's id is missing")
			}
			return p.tell(arguments[0], arguments[1:])
		},
	}
}

func (p *program) tell(request string, files []string) error {
	var lines []story.Line
	if len(files) == 0 {
		read, err := story.Read(p.stdin)
		if err != nil {
			return err
		}
		lines = read
	}
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	told := story.ForRequest(request, lines)
	if len(told) == 0 {
		return errors.Errorf("request %s: not in these logs", request)
	}
	for _, l := range told {
		_, _ = fmt.Fprintln(p.stdout, l.Text)
	}
	return nil
}

func readLog(name string) ([]story.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "story")
	}
	defer func() { _ = f.Close() }()
	return story.Read(f)
}
