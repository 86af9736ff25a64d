package operator

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

// maxRebases bounds the number of heads that one edit is rebased onto.
const maxRebases = 32

// Latest is a value of Change.Base. It stands for the newest revision at the
// first read, so that the change overwrites whatever the sections contain.
const Latest = ^uint64(0)

// Change is an edit of one or more sections.
type Change struct {
	// Sections are the sections to replace.
	Sections []document.Section
	// Document holds their new content. Its other sections are ignored.
	Document document.Document
	// Base is the revision at which the sections were read. It is zero if they
	// aren't in the store yet, or Latest.
	Base uint64
}

// Result describes a successful edit.
type Result struct {
	// Revision is the revision of the document that contains the change.
	Revision uint64
	Sections []document.Section
	// Unchanged reports that the sections already had this content, so nothing
	// was written.
	Unchanged bool
	// Rebased is the number of times the edit was retried on a newer head,
	// because another edit came first.
	Rebased int
	// PartsWritten is the number of new parts.
	PartsWritten int
}

// Set replaces sections. It succeeds once the head in the store contains the
// change, which then comes into force in the whole fleet. Otherwise the error is
// a *LostRace or wraps one of this package's errors.
func (e *Editor) Set(ctx context.Context, c Change) (Result, error) {
	w := &writer{
		editor: e,
		change: c,
	}
	if err := w.splitParts(); err != nil {
		return Result{}, err
	}
	for w.result.Rebased = 0; w.result.Rebased < maxRebases; w.result.Rebased++ {
		done, err := w.attempt(ctx)
		if err != nil {
			return Result{}, err
		}
		if done {
			return w.result, nil
		}
	}
	return Result{}, ErrContended
}

// writer holds the state of one edit over its attempts.
type writer struct {
	editor *Editor
	change Change
	result Result
	// parts holds the digests of the changed sections' parts, and content the
	// parts by digest.
	parts   map[document.Section][]revision.Digest
	content map[revision.Digest][]byte
	// current is the head that this attempt replaces, and next the new head.
	current storedHead
	next    revision.Head
}

func (w *writer) splitParts() error {
	w.result.Sections = w.change.Sections
	w.parts = map[document.Section][]revision.Digest{}
	w.content = map[revision.Digest][]byte{}
	for _, s := range w.change.Sections {
		parts, err := document.Split(w.change.Document, s)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "section %s: %v", s, err)
		}
		for _, content := range parts {
			d := revision.DigestOf(content)
			w.parts[s] = append(w.parts[s], d)
			w.content[d] = content
			w.editor.cachePart(d, content)
		}
	}
	return nil
}

// attempt tries to write the edit on top of the current head. It returns true
// if the change is accepted, and false if another edit replaced the head first.
func (w *writer) attempt(ctx context.Context) (bool, error) {
	var err error
	if w.current, err = w.editor.readHead(ctx); err != nil {
		return false, err
	}
	if w.unchanged() {
		w.result.Unchanged = true
		w.result.Revision = w.current.head.Number
		return true, nil
	}
	if err := w.checkBase(ctx); err != nil {
		return false, err
	}
	if err := w.checkDocument(ctx); err != nil {
		return false, err
	}
	if err := w.makeHead(); err != nil {
		return false, err
	}
	claim, err := w.prepare(ctx)
	if err != nil {
		return false, err
	}
	accepted, err := w.swapHead(ctx)
	if err != nil {
		// The write may still take effect, so the claim stays until it lapses.
		return false, err
	}
	if !accepted {
		w.editor.releaseClaim(ctx, claim)
		return false, nil
	}
	w.result.Revision = w.next.Number
	w.editor.cleanUp(ctx, claim)
	return true, nil
}

func (w *writer) unchanged() bool {
	for _, s := range w.change.Sections {
		section, ok := w.current.head.Section(string(s))
		if !ok || !slices.Equal(section.Parts, w.parts[s]) {
			return false
		}
	}
	return true
}

// checkBase returns an error if one of the sections changed after the revision
// that the edit is based on.
func (w *writer) checkBase(ctx context.Context) error {
	if w.change.Base == Latest {
		w.change.Base = w.current.head.Number
	}
	if w.change.Base > w.current.head.Number {
		return errors.Wrapf(ErrRevisionNotFound, "you began from revision %d, but the newest in the store is %d; nothing was changed", w.change.Base, w.current.head.Number)
	}
	for _, s := range w.change.Sections {
		section, ok := w.current.head.Section(string(s))
		if !ok || section.Revision <= w.change.Base {
			continue
		}
		if w.change.Base == 0 && w.result.Rebased == 0 {
			return errors.Wrapf(ErrBaseRequired, "section %s, last changed in revision %d", s, section.Revision)
		}
		return &LostRace{
			Section: s,
			Base:    w.change.Base,
			Winner:  w.editor.findRevision(ctx, w.current.head, section.Revision),
		}
	}
	return nil
}

// checkDocument validates the whole document as it would be after the change.
func (w *writer) checkDocument(ctx context.Context) error {
	snapshot, err := w.editor.readSnapshot(ctx, w.current.head)
	if err != nil {
		return err
	}
	d := snapshot.Document
	for _, s := range w.change.Sections {
		d = document.Replace(d, s, w.change.Document)
	}
	if problems := document.Validate(d); len(problems) > 0 {
		return &invalidDocument{
			problems: problems,
		}
	}
	return nil
}

// makeHead sets next to a head that applies the change to the current one.
func (w *writer) makeHead() error {
	nonce, err := w.editor.newNonce()
	if err != nil {
		return err
	}
	w.next = revision.Head{
		Number:   w.current.head.Number + 1,
		Sections: slices.Clone(w.current.head.Sections),
		Nonce:    nonce,
	}
	for _, s := range w.change.Sections {
		changed := revision.SectionHead{
			Section:  string(s),
			Revision: w.next.Number,
			Parts:    w.parts[s],
		}
		at := slices.IndexFunc(w.next.Sections, func(o revision.SectionHead) bool { return o.Section == string(s) })
		if at < 0 {
			w.next.Sections = append(w.next.Sections, changed)
			continue
		}
		w.next.Sections[at] = changed
	}
	if err := w.next.Validate(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	return nil
}

// prepare writes everything that has to exist before the head is replaced: a
// claim on the new parts, the parts, and the current head's copy in the
// history. Instances read none of it yet.
func (w *writer) prepare(ctx context.Context) (claim, error) {
	currentParts := w.current.head.Digests()
	var missing []revision.Digest
	for _, d := range w.next.Digests() {
		if !slices.Contains(currentParts, d) {
			missing = append(missing, d)
		}
	}
	partsClaim, err := w.editor.claimParts(ctx, w.next.Nonce, missing)
	if err != nil {
		return claim{}, err
	}
	for _, d := range missing {
		if err := w.editor.ensureWritten(ctx, revision.PartKey(d), w.content[d]); err != nil {
			return claim{}, err
		}
	}
	w.result.PartsWritten = len(missing)
	if w.current.version == 0 {
		return partsClaim, nil
	}
	return partsClaim, w.editor.ensureWritten(ctx, historyKey(w.current.head.Number), w.current.content)
}

// swapHead replaces the head. It returns false if another edit replaced it
// first. Errors wrap ErrStore if nothing was written, or ErrUndecided if the
// outcome is unknown.
func (w *writer) swapHead(ctx context.Context) (bool, error) {
	content, err := revision.EncodeHead(w.next)
	if err != nil {
		return false, errors.Wrap(ErrInvalid, err.Error())
	}
	call := store.Swap{
		Key:      revision.HeadKey,
		Value:    content,
		Expected: w.current.version,
	}
	answerLost := false
	for {
		answer, err := w.editor.client.Do(ctx, call)
		if swapped, ok := answer.(store.Swapped); ok && err == nil && swapped.Done {
			return true, nil
		}
		if errors.Is(err, store.ErrUnavailable) && !answerLost {
			return false, errors.Wrapf(ErrStore, "write the head: %v", err)
		}
		answerLost = answerLost || err != nil
		outcome, outcomeErr := w.resolveOutcome(ctx, answerLost)
		if outcomeErr != nil {
			return false, outcomeErr
		}
		switch outcome {
		case applied:
			return true, nil
		case superseded:
			return false, nil
		}
		if err != nil {
			w.editor.pauseBeforeRetry(ctx)
		}
	}
}

// swapOutcome is the outcome of a swap of the head.
type swapOutcome int

const (
	// pending means that the old head is still in place, so the swap may be
	// retried. If an earlier attempt takes effect late, the result is the same.
	pending swapOutcome = iota
	// applied means that this edit wrote the head or one in the history.
	applied
	// superseded means that another edit replaced the head first, so the swap
	// can no longer take effect.
	superseded
)

// resolveOutcome determines the outcome of a swap that wasn't confirmed. If an
// answer was lost, it reads the head until that succeeds or the context ends.
func (w *writer) resolveOutcome(ctx context.Context, answerLost bool) (swapOutcome, error) {
	for {
		now, err := w.editor.readHead(ctx)
		if err == nil {
			var outcome swapOutcome
			if outcome, err = w.compareHead(ctx, now); err == nil {
				return outcome, nil
			}
		}
		if !answerLost {
			return pending, err
		}
		if !errors.Is(err, ErrStore) || !w.editor.pauseBeforeRetry(ctx) {
			return pending, errors.Wrapf(ErrUndecided, "revision %d: %v", w.next.Number, err)
		}
	}
}

// compareHead determines the outcome of the swap from the head that is now in
// the store.
func (w *writer) compareHead(ctx context.Context, now storedHead) (swapOutcome, error) {
	switch {
	case now.version == w.current.version:
		return pending, nil
	case slices.Equal(now.head.Nonce, w.next.Nonce):
		return applied, nil
	case now.head.Number <= w.next.Number:
		return superseded, nil
	}
	// Every head is copied to the history before it is replaced. If this edit's
	// head was written, it is there.
	past, err := w.editor.readHistoryHead(ctx, w.next.Number)
	if err != nil {
		return pending, err
	}
	if slices.Equal(past.Nonce, w.next.Nonce) {
		return applied, nil
	}
	return superseded, nil
}
