package operator

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
)

// Errors of this package. Their texts tell an operator what state the document
// is in and what to do next.
var (
	// ErrStore reports that the store can't be reached and that nothing changed.
	ErrStore = errors.New("the store can't be reached; nothing was changed, and the fleet keeps the revision that it has. Try again when the store is back")
	// ErrUndecided reports that the answer to a write is lost and that the
	// store can't be read to find out whether the write took effect.
	ErrUndecided = errors.New("the store's answer to the write is lost and the store can't be asked again, so the change may or may not come into force. Run the same command again when the store is back: it finds out, and writes the change only if it is not in force")
	// ErrInvalid reports that the document would be invalid after the change.
	// If validation failed, errors.As finds a document.Problems in the error.
	ErrInvalid = errors.New("the document would not be valid; nothing was changed")
	// ErrRevisionNotFound reports that a revision doesn't exist, or is no longer
	// in the history.
	ErrRevisionNotFound = errors.New("no such revision")
	// ErrBaseRequired reports that an edit of an existing section doesn't name
	// the revision that it is based on.
	ErrBaseRequired = errors.New("the section exists; say at which revision you read it with --revision N, or take --revision latest to overwrite whatever is there")
	// ErrDocument reports that data in the store is missing or can't be decoded.
	ErrDocument = errors.New("the document in the store can't be read; nothing was changed")
	// ErrContended reports that other edits replaced the head at every attempt.
	ErrContended = errors.New("others changed the document at each attempt; nothing of yours was written. Try again")
)

// LostRace reports that another edit changed the same section first.
type LostRace struct {
	Section document.Section
	// Base is the revision that the edit is based on.
	Base uint64
	// Winner is the later revision that changed the section.
	Winner Revision
}

// Error names the winning revision and says what to do next.
func (l *LostRace) Error() string {
	return fmt.Sprintf("section %s was changed by %s at %s in revision %d, after revision %d that your edit is based on; your edit was not written. "+
		"Get the section again, repeat your change, and set it with the new revision",
		l.Section, l.Winner.Author, l.Winner.At.UTC().Format(time.RFC3339), l.Winner.Number, l.Base)
}

// invalidDocument is an ErrInvalid that carries the validation problems.
type invalidDocument struct {
	problems document.Problems
}

func (i *invalidDocument) Error() string {
	return ErrInvalid.Error() + ":\n" + i.problems.Error()
}

// Unwrap lets errors.Is find ErrInvalid and errors.As find the problems.
func (i *invalidDocument) Unwrap() []error {
	return []error{ErrInvalid, i.problems}
}
