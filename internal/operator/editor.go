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
	// defaultHistoryLength is the number of replaced heads that are kept.
	defaultHistoryLength = 100
	// readAttempts is the number of attempts at a read before the store is
	// reported as unreachable.
	readAttempts = 3
	// defaultRetryDelay is the time between two attempts at the same call.
	defaultRetryDelay = 200 * time.Millisecond
	// maxParallelReads is the maximum number of parts read at the same time.
	maxParallelReads = 8
)

// Editor reads and changes the document. It is safe for concurrent use.
type Editor struct {
	client        store.Client
	author        string
	clock         func() time.Time
	random        io.Reader
	historyLength int
	retryDelay    time.Duration

	mu sync.Mutex
	// parts caches the content of the parts that were read or written.
	parts map[revision.Digest][]byte
}

// Option configures an Editor.
type Option func(*Editor)

// Author sets the operator's name that the history records. It consists of at
// most 24 letters, digits, dots, underscores and hyphens; other characters are
// dropped. The default is "unknown".
func Author(name string) Option {
	return func(e *Editor) { e.author = name }
}

// Clock sets the clock that supplies the times in the history; time.Now by
// default.
func Clock(clock func() time.Time) Option {
	return func(e *Editor) { e.clock = clock }
}

// Random sets the source of randomness for nonces; crypto/rand by default.
func Random(source io.Reader) Option {
	return func(e *Editor) { e.random = source }
}

// History sets the number of replaced heads that are kept; 100 by default, and
// at least 1.
func History(n int) Option {
	return func(e *Editor) { e.historyLength = max(n, 1) }
}

// RetryDelay sets the time between two attempts at the same call; 200 ms by
// default.
func RetryDelay(d time.Duration) Option {
	return func(e *Editor) { e.retryDelay = d }
}

// New returns an Editor that accesses the store through client.
func New(client store.Client, options ...Option) *Editor {
	e := &Editor{
		client:        client,
		author:        "unknown",
		clock:         time.Now,
		random:        rand.Reader,
		historyLength: defaultHistoryLength,
		retryDelay:    defaultRetryDelay,
		parts:         map[revision.Digest][]byte{},
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// Snapshot is the document at one revision, with the head that describes it.
type Snapshot struct {
	Head     revision.Head
	Document document.Document
}

// Read returns the newest document. Before the first edit, the head's Number
// is zero. Errors wrap ErrStore or ErrDocument.
func (e *Editor) Read(ctx context.Context) (Snapshot, error) {
	current, err := e.readHead(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	return e.readSnapshot(ctx, current.head)
}

// ReadAt returns the document at the revision number, which is the newest one
// or one in the history. Errors wrap ErrStore, ErrDocument or
// ErrRevisionNotFound.
func (e *Editor) ReadAt(ctx context.Context, number uint64) (Snapshot, error) {
	current, err := e.readHead(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if current.head.Number == number {
		return e.readSnapshot(ctx, current.head)
	}
	head, err := e.readHistoryHead(ctx, number)
	if err != nil {
		return Snapshot{}, err
	}
	return e.readSnapshot(ctx, head)
}

// storedHead is a head with its encoded content and version in the store.
type storedHead struct {
	head    revision.Head
	content []byte
	// version is the version of the store's entry; zero if it doesn't exist.
	version int64
}

func (e *Editor) readHead(ctx context.Context) (storedHead, error) {
	entry, err := e.get(ctx, revision.HeadKey)
	if err != nil {
		return storedHead{}, err
	}
	return decodeHeadEntry(entry)
}

func decodeHeadEntry(entry store.Entry) (storedHead, error) {
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
	group.SetLimit(maxParallelReads)
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
	if content := e.cachedPart(d); content != nil {
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
		return nil, errors.Wrapf(ErrDocument, "the content of part %s doesn't match its digest", d)
	}
	e.cachePart(d, entry.Value)
	return entry.Value, nil
}

func (e *Editor) cachedPart(d revision.Digest) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts[d]
}

func (e *Editor) cachePart(d revision.Digest, content []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parts[d] = content
}

// get reads one key, with at most readAttempts attempts. Errors wrap ErrStore.
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
		if !e.pauseBeforeRetry(ctx) {
			break
		}
	}
	return store.Entry{}, errors.Wrapf(ErrStore, "read %s: %v", key, last)
}

// pauseBeforeRetry waits for the retry delay. It returns false if the context
// ended first.
func (e *Editor) pauseBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(e.retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
