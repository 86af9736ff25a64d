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
		ShortHelp:  "Print what the instances' logs say about a request.",
		LongHelp: "Prints the lines that name the request, and the lines about its targets from shortly\n" +
			"before, ordered by time. Without files it reads the standard input.",
		FlagSet: p.flags("dandelionctl story"),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) == 0 {
				return errors.Wrap(errUsage, "the request's ID is missing")
			}
			return p.printStory(arguments[0], arguments[1:])
		},
	}
}

// printStory prints the log lines about a request from the files, or from the standard
// input if there are none.
func (p *program) printStory(request string, files []string) error {
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
	selected := story.ForRequest(request, lines)
	if len(selected) == 0 {
		return errors.Errorf("request %s is not in these logs", request)
	}
	for _, l := range selected {
		_, _ = fmt.Fprintln(p.stdout, l.Text)
	}
	return nil
}

func readLog(name string) ([]story.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return story.Read(f)
}
