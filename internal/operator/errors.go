package operator

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
)

// Errors of this package. Their texts tell an operator what is true and what
// to do.
var (
	// ErrStore says that the store can't be reached, and that nothing changed.
	ErrStore = errors.New("the store can't be reached; nothing was changed, and the fleet keeps the revision that it has. Try again when the store is back")
	// ErrUndecided says that a write's answer is lost and that the store can't
	// be asked about it.
	ErrUndecided = errors.New("the store's answer to the write is lost and the store can't be asked again, so the change may or may not come into force. Run the same command again when the store is back: it finds out, and writes the change only if it is not in force")
	// ErrInvalid says that the document with the change in it is not valid.
	// The error holds a document.Problems.
	ErrInvalid = errors.New("the document would not be valid; nothing was changed")
	// ErrRevisionNotFound says that a revision isn't there.
	ErrRevisionNotFound = errors.New("no such revision")
	// ErrBaseRequired says that an edit doesn't say what it was made from.
	ErrBaseRequired = errors.New("the section exists; say at which revision you read it with --revision N, or take --revision latest to overwrite whatever is there")
	// ErrDocument says that the document in the store can't be read.
	ErrDocument = errors.New("the document in the store can't be read; nothing was changed")
	// ErrContended says that others kept changing the document.
	ErrContended = errors.New("others changed the document at each attempt; nothing of yours was written. Try again")
)

// LostRace is the error of an edit whose section was changed by another.
type LostRace struct {
	Section document.Section
	// Base is the revision that the edit was made from.
	Base uint64
	// Winner is the revision that changed the section since.
	Winner Revision
}

// Error tells what won and what to do.
func (l *LostRace) Error() string {
	return fmt.Sprintf("section %s was changed by %s at %s in revision %d, after revision %d that you began from; nothing of yours was written. "+
		"Get the section again, put your change in, and set it with the new revision",
		l.Section, l.Winner.Author, l.Winner.At.UTC().Format(time.RFC3339), l.Winner.Number, l.Base)
}

// invalidDocument is ErrInvalid with all problems.
type invalidDocument struct {
	problems document.Problems
}

func (i *invalidDocument) Error() string {
	return ErrInvalid.Error() + ":\n" + i.problems.Error()
}

// Unwrap makes both the kind and the problems findable.
func (i *invalidDocument) Unwrap() []error {
	return []error{ErrInvalid, i.problems}
}
