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
	exitOK                = 0
	exitError             = 1
	exitUsage             = 2
	exitInvalid           = 3
	exitConflict          = 4
	exitStoreUnreachable  = 5
	exitOutcomeUnknown    = 6
	exitFleetInconsistent = 7
)

const exitHelp = `EXIT CODES
  0  success
  1  another error; nothing was changed
  2  invalid command line; nothing was changed
  3  the document or a file is not valid; nothing was changed
  4  another operator changed the section first; your change was not written
  5  the store can't be reached; nothing was changed
  6  the store's answer to a write was lost: the change may or may not come into
     force; run the same command again when the store can be reached
  7  status: an instance returned no status, is not trusted, or is on another revision`

var (
	// errUsage means that the command line is invalid.
	errUsage = errors.New("bad command line")
	// errFleetInconsistent means that an instance returned no status, is not
	// trusted, or is on another revision than the others.
	errFleetInconsistent = errors.New("the fleet is not consistent")
)

// failure is the output of a failed command with -output json.
type failure struct {
	Error    string
	ExitCode int
	Problems []document.Problem
}

// fail prints an error, in the form that -output asks for, and returns its exit code.
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

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var lost *operator.LostRace
	var problems document.Problems
	switch {
	case errors.Is(err, errUsage), errors.Is(err, operator.ErrBaseRequired), errors.Is(err, document.ErrUnknownSection):
		return exitUsage
	case errors.Is(err, operator.ErrInvalid), errors.Is(err, document.ErrMalformed), errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &lost), errors.Is(err, operator.ErrContended):
		return exitConflict
	case errors.Is(err, operator.ErrUndecided):
		return exitOutcomeUnknown
	case errors.Is(err, operator.ErrStore):
		return exitStoreUnreachable
	case errors.Is(err, errFleetInconsistent):
		return exitFleetInconsistent
	}
	return exitError
}
