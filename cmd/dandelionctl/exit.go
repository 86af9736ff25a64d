package main

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"dandelionmux/internal/operator"
	"dandelionmux/pkg/document"
)

// Exit codes.
const (
	exitDone      = 0
	exitOther     = 1
	exitUsage     = 2
	exitInvalid   = 3
	exitLost      = 4
	exitStore     = 5
	exitUndecided = 6
	exitFleet     = 7
)

const exitHelp = `EXIT CODES
  0  done
  1  another error; nothing was changed
  2  the command line can't be used; nothing was changed
  3  the document is not valid, or the file is none; nothing was changed
  4  another operator changed the section first; nothing of yours was written
  5  the store can't be reached; nothing was changed
  6  the answer to a write is lost: it may or may not come into force;
     run the same command again when the store is back
  7  status: an instance can't be asked, is not trusted, or is on another revision`

var (
	// errUsage says that the command line can't be used.
	errUsage = errors.New("bad command line")
	// errFleet says that the fleet is not of one mind.
	errFleet = errors.New("the fleet is not whole")
)

// failure is an error as -output json prints it.
type failure struct {
	Error    string
	ExitCode int
	Problems []document.Problem
}

// fail prints an error and returns its exit code.
func (p *program) fail(err error) int {
	code := exitCode(err)
	if p.settings.output != outputJSON {
		_, _ = fmt.Fprintln(p.stderr, "dandelionctl:", err)
		return code
	}
	f := failure{
		Error:    err.Error(),
		ExitCode: code,
	}
	var problems document.Problems
	if errors.As(err, &problems) {
		f.Problems = problems
	}
	_ = json.NewEncoder(p.stdout).Encode(f)
	return code
}

func exitCode(err error) int {
	var lost *operator.LostRace
	var problems document.Problems
	switch {
	case errors.Is(err, errUsage), errors.Is(err, operator.ErrBase), errors.Is(err, document.ErrUnknownSection):
		return exitUsage
	case errors.Is(err, operator.ErrInvalid), errors.Is(err, document.ErrMalformed), errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &lost), errors.Is(err, operator.ErrContended):
		return exitLost
	case errors.Is(err, operator.ErrUndecided):
		return exitUndecided
	case errors.Is(err, operator.ErrStore):
		return exitStore
	case errors.Is(err, errFleet):
		return exitFleet
	}
	return exitOther
}
