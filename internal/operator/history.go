package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

const (
	// historyPrefix is the prefix of the keys of replaced heads.
	historyPrefix = "document/history/"
	// nonceBytes is the length of a nonce's random part, in bytes.
	nonceBytes = 8
	// maxAuthorLength is the maximum length of an author's name in a nonce.
	maxAuthorLength = 24
)

// Revision describes one revision of the document.
type Revision struct {
	Number uint64
	// At is the time of the edit by the writer's clock.
	At     time.Time
	Author string
	// Sections are the sections that the revision changed.
	Sections []document.Section
}

// Revisions returns the newest revision and those in the history, newest
// first. Errors wrap ErrStore or ErrDocument.
func (e *Editor) Revisions(ctx context.Context) ([]Revision, error) {
	current, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if current.version == 0 {
		return nil, nil
	}
	entries, err := e.list(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	list := []Revision{revisionOf(current.head)}
	for _, entry := range slices.Backward(entries) {
		past, err := decodeHeadEntry(entry)
		if err != nil {
			return nil, err
		}
		// A writer whose swap failed may have copied the newest head here.
		if past.head.Number < current.head.Number {
			list = append(list, revisionOf(past.head))
		}
	}
	return list, nil
}

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, number)
}

// readHistoryHead reads the head of a past revision from the history.
func (e *Editor) readHistoryHead(ctx context.Context, number uint64) (revision.Head, error) {
	entry, err := e.get(ctx, historyKey(number))
	if err != nil {
		return revision.Head{}, err
	}
	if entry.Version == 0 {
		return revision.Head{}, errors.Wrapf(ErrRevisionNotFound, "revision %d is not, or no longer, in the history", number)
	}
	past, err := decodeHeadEntry(entry)
	return past.head, err
}

// findRevision returns the description of a revision. If the revision can't be
// read, it has no time and the author "unknown".
func (e *Editor) findRevision(ctx context.Context, newest revision.Head, number uint64) Revision {
	if newest.Number == number {
		return revisionOf(newest)
	}
	past, err := e.readHistoryHead(ctx, number)
	if err != nil {
		return Revision{
			Number: number,
			Author: "unknown",
		}
	}
	return revisionOf(past)
}

func revisionOf(h revision.Head) Revision {
	r := Revision{
		Number: h.Number,
	}
	r.At, r.Author = parseNonce(h.Nonce)
	for _, s := range h.Sections {
		if s.Revision == h.Number {
			r.Sections = append(r.Sections, document.Section(s.Section))
		}
	}
	return r
}

// newNonce returns a nonce that is unique to one attempt at one edit. It begins
// with the time and the author, which the history shows.
func (e *Editor) newNonce() ([]byte, error) {
	random := make([]byte, nonceBytes)
	if _, err := io.ReadFull(e.random, random); err != nil {
		return nil, errors.Wrapf(ErrStore, "random source: %v", err)
	}
	return fmt.Appendf(nil, "%d/%s/%s", e.clock().Unix(), sanitiseAuthor(e.author), hex.EncodeToString(random)), nil
}

func parseNonce(nonce []byte) (time.Time, string) {
	parts := strings.Split(string(nonce), "/")
	if len(parts) != 3 {
		return time.Time{}, "unknown"
	}
	seconds, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return time.Time{}, sanitiseAuthor(parts[1])
	}
	return time.Unix(seconds, 0), sanitiseAuthor(parts[1])
}

// sanitiseAuthor truncates a name and drops all characters but letters, digits,
// dots, underscores and hyphens.
func sanitiseAuthor(name string) string {
	plain := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c) {
			return c
		}
		return -1
	}, name)
	if plain == "" {
		return "unknown"
	}
	return plain[:min(len(plain), maxAuthorLength)]
}

// list reads all entries under a prefix, ordered by key.
func (e *Editor) list(ctx context.Context, prefix string) ([]store.Entry, error) {
	var last error
	for range readAttempts {
		answer, err := e.client.Do(ctx, store.List{
			Prefix: prefix,
		})
		if entries, ok := answer.(store.Entries); ok && err == nil {
			return entries.Entries, nil
		}
		last = err
		if !e.pauseBeforeRetry(ctx) {
			break
		}
	}
	return nil, errors.Wrapf(ErrStore, "list %s: %v", prefix, last)
}

// cleanUp releases the claim after an accepted edit and trims the history. The
// edit doesn't depend on it, so errors are ignored; the next edit cleans up
// what is left.
func (e *Editor) cleanUp(ctx context.Context, c claim) {
	if e.clock().Sub(c.startedAt) > claimTerm/2 {
		// The claim may have lapsed before the head referenced the parts, so another
		// writer may have removed them: write them again.
		for _, d := range c.digests {
			_ = e.ensureWritten(ctx, revision.PartKey(d), e.cachedPart(d))
		}
	}
	e.releaseClaim(ctx, c)
	_ = e.trimHistory(ctx)
}

// trimHistory removes the oldest heads from the history, and the parts that no
// other head references and no writer claims.
//
// A writer claims its parts before it writes them, and releases the claim after
// its head references them. Therefore the reads happen in this order: the
// versions of the parts, the claims, the head, the history. A part that is
// written again after the first step isn't removed, because its version has
// changed. A part written before the first step is found in one of the later
// steps.
func (e *Editor) trimHistory(ctx context.Context) error {
	entries, err := e.list(ctx, historyPrefix)
	if err != nil || len(entries) <= e.historyLength {
		return err
	}
	dropped := entries[:len(entries)-e.historyLength]
	versions := map[revision.Digest]int64{}
	for _, entry := range dropped {
		past, err := decodeHeadEntry(entry)
		if err != nil {
			return err
		}
		for _, d := range past.head.Digests() {
			versions[d] = 0
		}
	}
	if err := e.excludeReferencedParts(ctx, versions, dropped); err != nil {
		return err
	}
	for d := range versions {
		part, err := e.get(ctx, revision.PartKey(d))
		if err != nil {
			return err
		}
		versions[d] = part.Version
	}
	if err := e.excludeReferencedParts(ctx, versions, dropped); err != nil {
		return err
	}
	for d, version := range versions {
		if version == 0 {
			continue
		}
		if err := e.remove(ctx, revision.PartKey(d), version); err != nil {
			return err
		}
	}
	for _, entry := range dropped {
		if err := e.remove(ctx, entry.Key, entry.Version); err != nil {
			return err
		}
	}
	return nil
}

// excludeReferencedParts deletes from versions all parts that are claimed, or
// referenced by the current head or by a head in the history that isn't in
// dropped.
func (e *Editor) excludeReferencedParts(ctx context.Context, versions map[revision.Digest]int64, dropped []store.Entry) error {
	claims, err := e.list(ctx, claimPrefix)
	if err != nil {
		return err
	}
	for _, entry := range claims {
		var texts []string
		if err := json.Unmarshal(entry.Value, &texts); err != nil {
			return errors.Wrapf(ErrDocument, "claim %s: %v", entry.Key, err)
		}
		for _, text := range texts {
			if d, err := revision.ParseDigest(text); err == nil {
				delete(versions, d)
			}
		}
	}
	current, err := e.readHead(ctx)
	if err != nil {
		return err
	}
	heads := []revision.Head{current.head}
	entries, err := e.list(ctx, historyPrefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if slices.ContainsFunc(dropped, func(o store.Entry) bool { return o.Key == entry.Key }) {
			continue
		}
		past, err := decodeHeadEntry(entry)
		if err != nil {
			return err
		}
		heads = append(heads, past.head)
	}
	for _, h := range heads {
		for _, d := range h.Digests() {
			delete(versions, d)
		}
	}
	return nil
}

func (e *Editor) remove(ctx context.Context, key string, version int64) error {
	_, err := e.client.Do(ctx, store.Delete{
		Key:      key,
		Expected: version,
	})
	if err != nil {
		return errors.Wrapf(ErrStore, "remove %s: %v", key, err)
	}
	return nil
}
