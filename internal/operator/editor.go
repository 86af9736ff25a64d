package operator

import (
	"context"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

const (
	// defaultHistory is how many replaced heads are kept.
	defaultHistory = 100
	// readAttempts is how often a read is tried before the store counts as
	// away.
	readAttempts = 3
	// defaultPause is between two attempts at the same call.
	defaultPause = 200 * time.Millisecond
	// parallelReads bounds the parts that are read at a time.
	parallelReads = 8
)

// Editor reads and changes the document. It is safe for concurrent use.
type Editor struct {
	client  store.Client
	author  string
	clock   func() time.Time
	random  io.Reader
	history int
	pause   time.Duration

	mu sync.Mutex
	// parts holds the content of parts that were read or written.
	parts map[revision.Digest][]byte
}

// Option changes an Editor under construction.
type Option func(*Editor)

// Author names the operator in the history; letters, digits, dot, underscore
// and hyphen, 24 at most. Others are left out.
func Author(name string) Option {
	return func(e *Editor) { e.author = name }
}

// Clock sets the clock that the history's times come from.
func Clock(clock func() time.Time) Option {
	return func(e *Editor) { e.clock = clock }
}

// Random sets the source of nonces.
func Random(source io.Reader) Option {
	return func(e *Editor) { e.random = source }
}

// History sets how many replaced heads are kept; 100 by default, 1 at least.
func History(n int) Option {
	return func(e *Editor) { e.history = max(n, 1) }
}

// RetryDelay sets the time between two attempts at the same call; 200 ms by default.
func RetryDelay(d time.Duration) Option {
	return func(e *Editor) { e.pause = d }
}

// New makes an Editor.
func New(client store.Client, options ...Option) *Editor {
	e := &Editor{
		client:  client,
		author:  "unknown",
		clock:   time.Now,
		random:  rand.Reader,
		history: defaultHistory,
		pause:   defaultPause,
		parts:   map[revision.Digest][]byte{},
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// Snapshot is the document at one revision.
type Snapshot struct {
	Head     revision.Head
	Document document.Document
}

// Read reads the newest document. Before the first edit, the head's Number is
// zero. Errors wrap ErrStore or ErrDocument.
func (e *Editor) Read(ctx context.Context) (Snapshot, error) {
	at, err := e.readHead(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	return e.readSnapshot(ctx, at.head)
}

// ReadAt reads the document at a revision of the history. The error may also
// wrap ErrRevisionNotFound.
func (e *Editor) ReadAt(ctx context.Context, number uint64) (Snapshot, error) {
	at, err := e.readHead(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if at.head.Number == number {
		return e.readSnapshot(ctx, at.head)
	}
	head, err := e.readPast(ctx, number)
	if err != nil {
		return Snapshot{}, err
	}
	return e.readSnapshot(ctx, head)
}

// storedHead is a head as it stands in the store.
type storedHead struct {
	head    revision.Head
	content []byte
	// version is the entry's version; zero if there is none.
	version int64
}

func (e *Editor) readHead(ctx context.Context) (storedHead, error) {
	entry, err := e.get(ctx, revision.HeadKey)
	if err != nil {
		return storedHead{}, err
	}
	return headOf(entry)
}

func headOf(entry store.Entry) (storedHead, error) {
	if entry.Version == 0 {
		return storedHead{}, nil
	}
	head, err := revision.DecodeHead(entry.Value)
	if err != nil {
		return storedHead{}, errors.Wrapf(ErrDocument, "head: %v", err)
	}
	return storedHead{
		head:    head,
		content: entry.Value,
		version: entry.Version,
	}, nil
}

func (e *Editor) readSnapshot(ctx context.Context, head revision.Head) (Snapshot, error) {
	parts := map[document.Section][][]byte{}
	for _, s := range head.Sections {
		var err error
		if parts[document.Section(s.Section)], err = e.readParts(ctx, s.Parts); err != nil {
			return Snapshot{}, err
		}
	}
	d, err := document.Assemble(head.Number, parts)
	if err != nil {
		return Snapshot{}, errors.Wrap(ErrDocument, err.Error())
	}
	return Snapshot{
		Head:     head,
		Document: d,
	}, nil
}

func (e *Editor) readParts(ctx context.Context, digests []revision.Digest) ([][]byte, error) {
	parts := make([][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for i, d := range digests {
		group.Go(func() error {
			var err error
			parts[i], err = e.readPart(ctx, d)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return parts, nil
}

func (e *Editor) readPart(ctx context.Context, d revision.Digest) ([]byte, error) {
	if content := e.cached(d); content != nil {
		return content, nil
	}
	entry, err := e.get(ctx, revision.PartKey(d))
	if err != nil {
		return nil, err
	}
	if entry.Version == 0 {
		return nil, errors.Wrapf(ErrDocument, "part %s is missing", d)
	}
	if revision.DigestOf(entry.Value) != d {
		return nil, errors.Wrapf(ErrDocument, "part %s has other content", d)
	}
	e.cache(d, entry.Value)
	return entry.Value, nil
}

func (e *Editor) cached(d revision.Digest) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts[d]
}

func (e *Editor) cache(d revision.Digest, content []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parts[d] = content
}

// get reads one key, with some attempts. Its errors wrap ErrStore.
func (e *Editor) get(ctx context.Context, key string) (store.Entry, error) {
	var last error
	for range readAttempts {
		answer, err := e.client.Do(ctx, store.Get{
			Key: key,
		})
		if value, ok := answer.(store.Value); ok && err == nil {
			return value.Entry, nil
		}
		last = err
		if !e.rest(ctx) {
			break
		}
	}
	return store.Entry{}, errors.Wrapf(ErrStore, "read %s: %v", key, last)
}

// rest pauses between two attempts. It returns false if the context ended.
func (e *Editor) rest(ctx context.Context) bool {
	timer := time.NewTimer(e.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
