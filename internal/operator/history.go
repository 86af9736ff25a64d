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
	// historyPrefix begins the keys of replaced heads.
	historyPrefix = "document/history/"
	// nonceBytes is the random part of a nonce.
	nonceBytes = 8
	// maximumAuthor bounds an author's name in a nonce.
	maximumAuthor = 24
)

// Revision is one entry of the history.
type Revision struct {
	Number uint64
	// At is when the writer's clock said that it was written.
	At     time.Time
	Author string
	// Sections are those that the revision changed.
	Sections []document.Section
}

// Revisions returns the newest revision and the ones before it that are kept,
// newest first. Errors wrap ErrStore or ErrDocument.
func (e *Editor) Revisions(ctx context.Context) ([]Revision, error) {
	at, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if at.version == 0 {
		return nil, nil
	}
	entries, err := e.list(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	list := []Revision{revisionOf(at.head)}
	for _, entry := range slices.Backward(entries) {
		past, err := headOf(entry)
		if err != nil {
			return nil, err
		}
		// A writer that lost its race may have put the newest head here too.
		if past.head.Number < at.head.Number {
			list = append(list, revisionOf(past.head))
		}
	}
	return list, nil
}

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, number)
}

// readPast reads a replaced head.
func (e *Editor) readPast(ctx context.Context, number uint64) (revision.Head, error) {
	entry, err := e.get(ctx, historyKey(number))
	if err != nil {
		return revision.Head{}, err
	}
	if entry.Version == 0 {
		return revision.Head{}, errors.Wrapf(ErrRevisionNotFound, "revision %d is not, or no longer, in the history", number)
	}
	past, err := headOf(entry)
	return past.head, err
}

// describe says who wrote a revision, as far as that can be read.
func (e *Editor) describe(ctx context.Context, newest revision.Head, number uint64) Revision {
	if newest.Number == number {
		return revisionOf(newest)
	}
	past, err := e.readPast(ctx, number)
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
	r.At, r.Author = readNonce(h.Nonce)
	for _, s := range h.Sections {
		if s.Revision == h.Number {
			r.Sections = append(r.Sections, document.Section(s.Section))
		}
	}
	return r
}

// nonce is unique to one attempt at one edit. It begins with the time and the
// author, which the history shows.
func (e *Editor) nonce() ([]byte, error) {
	random := make([]byte, nonceBytes)
	if _, err := io.ReadFull(e.random, random); err != nil {
		return nil, errors.Wrapf(ErrStore, "random source: %v", err)
	}
	return fmt.Appendf(nil, "%d/%s/%s", e.clock().Unix(), plainAuthor(e.author), hex.EncodeToString(random)), nil
}

func readNonce(nonce []byte) (time.Time, string) {
	parts := strings.Split(string(nonce), "/")
	if len(parts) != 3 {
		return time.Time{}, "unknown"
	}
	seconds, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return time.Time{}, plainAuthor(parts[1])
	}
	return time.Unix(seconds, 0), plainAuthor(parts[1])
}

// plainAuthor keeps a name short and printable.
func plainAuthor(name string) string {
	plain := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c) {
			return c
		}
		return -1
	}, name)
	if plain == "" {
		return "unknown"
	}
	return plain[:min(len(plain), maximumAuthor)]
}

// list reads all keys under a prefix, in order.
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
		if !e.rest(ctx) {
			break
		}
	}
	return nil, errors.Wrapf(ErrStore, "list %s: %v", prefix, last)
}

// tidy follows an accepted edit. Nothing of it matters to the edit, so it
// reports no errors; what it leaves undone, the next edit does.
func (e *Editor) tidy(ctx context.Context, c claim) {
	if e.clock().Sub(c.begun) > claimTerm/2 {
		// The claim may have lapsed before the head named the parts.
		for _, d := range c.digests {
			_ = e.ensure(ctx, revision.PartKey(d), e.cached(d))
		}
	}
	e.release(ctx, c)
	_ = e.sweep(ctx)
}

// sweep drops the oldest heads from the history, with the parts that no other
// head names and no writer claims.
//
// A writer claims its parts before it writes them, and gives the claim up after
// its head names them. So the order here matters: first the parts' versions,
// then the claims, then the head, then the history. A part that is written
// again after the first step isn't removed, as its version is newer; one written
// before it is seen in one of the later steps.
func (e *Editor) sweep(ctx context.Context) error {
	entries, err := e.list(ctx, historyPrefix)
	if err != nil || len(entries) <= e.history {
		return err
	}
	dropped := entries[:len(entries)-e.history]
	versions := map[revision.Digest]int64{}
	for _, entry := range dropped {
		past, err := headOf(entry)
		if err != nil {
			return err
		}
		for _, d := range past.head.Digests() {
			versions[d] = 0
		}
	}
	if err := e.keep(ctx, versions, dropped); err != nil {
		return err
	}
	for d := range versions {
		part, err := e.get(ctx, revision.PartKey(d))
		if err != nil {
			return err
		}
		versions[d] = part.Version
	}
	if err := e.keep(ctx, versions, dropped); err != nil {
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

// keep takes out of versions all parts that are claimed, or named by the head
// or by a head in the history that isn't dropped.
func (e *Editor) keep(ctx context.Context, versions map[revision.Digest]int64, dropped []store.Entry) error {
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
	at, err := e.readHead(ctx)
	if err != nil {
		return err
	}
	heads := []revision.Head{at.head}
	entries, err := e.list(ctx, historyPrefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if slices.ContainsFunc(dropped, func(o store.Entry) bool { return o.Key == entry.Key }) {
			continue
		}
		past, err := headOf(entry)
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
