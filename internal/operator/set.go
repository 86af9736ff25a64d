package operator

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

// maximumRebases bounds how often one edit is put onto a newer head.
const maximumRebases = 32

// Latest as a Change's Base overwrites whatever is there at the first read.
const Latest = ^uint64(0)

// Change is an edit of one section or several.
type Change struct {
	// Sections are those to replace.
	Sections []document.Section
	// Document holds their new content. Its other sections don't matter.
	Document document.Document
	// Base is the revision at which the sections were read: zero if they
	// aren't in the store yet, or Latest.
	Base uint64
}

// Result is the end of an edit that succeeded.
type Result struct {
	// Revision is the document's revision with the change in it.
	Revision uint64
	Sections []document.Section
	// Unchanged says that the sections had this content already, so nothing was
	// written.
	Unchanged bool
	// Rebased is how many other edits the change was put on top of.
	Rebased int
	// PartsWritten is how many parts were new.
	PartsWritten int
}

// Set replaces sections. It returns once the change is accepted, so that it
// will come into force everywhere, or with the reason why it isn't: a
// *LostRace, or an error that wraps one of this package's errors.
func (e *Editor) Set(ctx context.Context, c Change) (Result, error) {
	w := &writer{
		editor: e,
		change: c,
	}
	if err := w.split(); err != nil {
		return Result{}, err
	}
	for w.result.Rebased = 0; w.result.Rebased < maximumRebases; w.result.Rebased++ {
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

// writer carries one edit through its attempts.
type writer struct {
	editor *Editor
	change Change
	result Result
	// parts are the changed sections' parts, by section and by digest.
	parts   map[document.Section][]revision.Digest
	content map[revision.Digest][]byte
	// before is the head that the attempt replaces, and next the new one.
	before storedHead
	next   revision.Head
}

func (w *writer) split() error {
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
			w.editor.cache(d, content)
		}
	}
	return nil
}

// attempt returns true once the change is accepted, and false if another edit
// came first and did not touch the same sections.
func (w *writer) attempt(ctx context.Context) (bool, error) {
	var err error
	if w.before, err = w.editor.readHead(ctx); err != nil {
		return false, err
	}
	if w.unchanged() {
		w.result.Unchanged = true
		w.result.Revision = w.before.head.Number
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
	accepted, err := w.swap(ctx)
	if err != nil {
		// The write may yet take effect, so the claim stays until it lapses.
		return false, err
	}
	if !accepted {
		w.editor.release(ctx, claim)
		return false, nil
	}
	w.result.Revision = w.next.Number
	w.editor.tidy(ctx, claim)
	return true, nil
}

func (w *writer) unchanged() bool {
	for _, s := range w.change.Sections {
		section, ok := w.before.head.Section(string(s))
		if !ok || !slices.Equal(section.Parts, w.parts[s]) {
			return false
		}
	}
	return true
}

// checkBase finds out whether one of the sections changed since the edit was
// begun.
func (w *writer) checkBase(ctx context.Context) error {
	if w.change.Base == Latest {
		w.change.Base = w.before.head.Number
	}
	if w.change.Base > w.before.head.Number {
		return errors.Wrapf(ErrRevisionNotFound, "you began from revision %d, but the newest in the store is %d; nothing was changed", w.change.Base, w.before.head.Number)
	}
	for _, s := range w.change.Sections {
		section, ok := w.before.head.Section(string(s))
		if !ok || section.Revision <= w.change.Base {
			continue
		}
		if w.change.Base == 0 && w.result.Rebased == 0 {
			return errors.Wrapf(ErrBaseRequired, "section %s, last changed in revision %d", s, section.Revision)
		}
		return &LostRace{
			Section: s,
			Base:    w.change.Base,
			Winner:  w.editor.describe(ctx, w.before.head, section.Revision),
		}
	}
	return nil
}

// checkDocument validates the whole document with the change in it.
func (w *writer) checkDocument(ctx context.Context) error {
	snapshot, err := w.editor.readSnapshot(ctx, w.before.head)
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

// makeHead makes the head that puts the change on top of the one before.
func (w *writer) makeHead() error {
	nonce, err := w.editor.nonce()
	if err != nil {
		return err
	}
	w.next = revision.Head{
		Number:   w.before.head.Number + 1,
		Sections: slices.Clone(w.before.head.Sections),
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

// prepare writes all that must be there before the head is replaced: a claim
// on the parts, the parts, and the present head's place in the history. None
// of it is seen by instances.
func (w *writer) prepare(ctx context.Context) (claim, error) {
	present := w.before.head.Digests()
	var missing []revision.Digest
	for _, d := range w.next.Digests() {
		if !slices.Contains(present, d) {
			missing = append(missing, d)
		}
	}
	held, err := w.editor.claimParts(ctx, w.next.Nonce, missing)
	if err != nil {
		return claim{}, err
	}
	for _, d := range missing {
		if err := w.editor.ensure(ctx, revision.PartKey(d), w.content[d]); err != nil {
			return claim{}, err
		}
	}
	w.result.PartsWritten = len(missing)
	if w.before.version == 0 {
		return held, nil
	}
	return held, w.editor.ensure(ctx, historyKey(w.before.head.Number), w.before.content)
}

// swap replaces the head. It returns false if another head came first.
func (w *writer) swap(ctx context.Context) (bool, error) {
	content, err := revision.EncodeHead(w.next)
	if err != nil {
		return false, errors.Wrap(ErrInvalid, err.Error())
	}
	call := store.Swap{
		Key:      revision.HeadKey,
		Value:    content,
		Expected: w.before.version,
	}
	lost := false
	for {
		answer, err := w.editor.client.Do(ctx, call)
		if swapped, ok := answer.(store.Swapped); ok && err == nil && swapped.Done {
			return true, nil
		}
		if errors.Is(err, store.ErrUnavailable) && !lost {
			return false, errors.Wrapf(ErrStore, "write the head: %v", err)
		}
		lost = lost || err != nil
		state, unsettled := w.settle(ctx, lost)
		if unsettled != nil {
			return false, unsettled
		}
		switch state {
		case inForce:
			return true, nil
		case overtaken:
			return false, nil
		}
		if err != nil {
			w.editor.rest(ctx)
		}
	}
}

// fate is what became of a swap.
type fate int

const (
	// open: the head is still the one before, so the swap may be tried again;
	// should the earlier one take effect after all, it is the same swap.
	open fate = iota
	// inForce: the head, or one in the history, is this edit's.
	inForce
	// overtaken: another head came first, so the swap can never take effect.
	overtaken
)

// settle finds out what became of a swap that was not answered as done. While
// an answer is lost it asks until the context ends.
func (w *writer) settle(ctx context.Context, lost bool) (fate, error) {
	for {
		now, err := w.editor.readHead(ctx)
		if err == nil {
			var state fate
			if state, err = w.compare(ctx, now); err == nil {
				return state, nil
			}
		}
		if !lost {
			return open, err
		}
		if !errors.Is(err, ErrStore) || !w.editor.rest(ctx) {
			return open, errors.Wrapf(ErrUndecided, "revision %d: %v", w.next.Number, err)
		}
	}
}

// compare sets the head in the store against the edit's own.
func (w *writer) compare(ctx context.Context, now storedHead) (fate, error) {
	switch {
	case now.version == w.before.version:
		return open, nil
	case slices.Equal(now.head.Nonce, w.next.Nonce):
		return inForce, nil
	case now.head.Number <= w.next.Number:
		return overtaken, nil
	}
	// Every head is in the history before it is replaced, so if this edit's
	// was in force, it is there.
	past, err := w.editor.readPast(ctx, w.next.Number)
	if err != nil {
		return open, err
	}
	if slices.Equal(past.Nonce, w.next.Nonce) {
		return inForce, nil
	}
	return overtaken, nil
}
