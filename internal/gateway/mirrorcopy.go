package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// Limits of copying a mirror.
const (
	// longPollTimeout is how long a reader waits for a change before it answers without
	// one.
	longPollTimeout = 500 * time.Millisecond
	// copyTimeout bounds the wait for a reader's answer. Instances have only a part of
	// a CPU core and may stall for a while.
	copyTimeout = longPollTimeout + 400*time.Millisecond
	// peerDialTimeout bounds connecting to an instance of the same zone.
	peerDialTimeout = 300 * time.Millisecond
	// maxCopyBytes bounds an answer. It has room for a configuration of 1 MB and
	// thousands of targets.
	maxCopyBytes = 32 << 20
)

// Field numbers of a mirrorCopy.
const (
	fieldCounter protowire.Number = iota + 1
	fieldFull
	fieldAge // in microseconds
	fieldConfirmed
	fieldEntry
	fieldEra
)

// Field numbers of an entry of a mirrorCopy.
const (
	fieldKey protowire.Number = iota + 1
	fieldValue
	fieldVersion
	fieldRemovedAt
)

// newPeerClient returns the HTTP client for copying mirrors from other instances.
func newPeerClient() *http.Client {
	dialer := net.Dialer{
		Timeout: peerDialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
		},
	}
}

// mirrorCopy is what changed in a reader's mirror, and how old its last confirming read
// is.
type mirrorCopy struct {
	mirror.Delta
	// ConfirmationAge is the age of the reader's last confirming read when it answered.
	ConfirmationAge time.Duration
	// Confirmed says that there was a confirming read. If not, ConfirmationAge has no
	// meaning.
	Confirmed bool
}

// parsePosition decodes the position in the query of a request for a mirror.
func parsePosition(query url.Values) (mirror.Position, error) {
	counter, err := strconv.ParseInt(query.Get("After"), 10, 64)
	if err != nil {
		return mirror.Position{}, errors.Wrap(err, "After")
	}
	era := int64(0)
	if text := query.Get("Era"); text != "" {
		if era, err = strconv.ParseInt(text, 10, 64); err != nil {
			return mirror.Position{}, errors.Wrap(err, "Era")
		}
	}
	return mirror.Position{
		Era:     store.Era(era),
		Counter: counter,
	}, nil
}

// serveMirror answers with the changes after a position. It waits until there are any,
// up to longPollTimeout, and then answers with the newest confirmation alone. An
// instance that does not read the store, or whose last confirming read is too old,
// answers 503, so that followers choose another reader at once and no two instances
// follow each other.
func (g *Gateway) serveMirror(w http.ResponseWriter, r *http.Request) {
	after, err := parsePosition(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := boot.Now() + longPollTimeout
	for {
		now := boot.Now()
		confirmedAt, confirmed := g.confirmedAt()
		if !g.readingStore.Load() || !confirmed || now-confirmedAt > maxReaderConfirmationAge {
			http.Error(w, "not reading the store, or last confirming read too old", http.StatusServiceUnavailable)
			return
		}
		if !g.awaitChange(r.Context(), after, min(deadline, confirmedAt+maxReaderConfirmationAge)-now) {
			break
		}
	}
	_, _ = w.Write(encodeMirrorCopy(g.copyMirror(after)))
}

// awaitChange waits until the mirror changes or the time is over, and returns true. It
// returns false if the mirror is already past the position, wait is not positive, or ctx
// ends: the caller then answers.
func (g *Gateway) awaitChange(ctx context.Context, after mirror.Position, wait time.Duration) bool {
	var ahead bool
	var changed chan struct{}
	g.state.withLock(func() {
		ahead = g.state.mirror.IsAfter(after)
		changed = g.state.mirrorChanged
	})
	if ahead || wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// copyMirror returns what changed in the mirror after a position.
func (g *Gateway) copyMirror(after mirror.Position) mirrorCopy {
	var c mirrorCopy
	g.state.withLock(func() {
		confirmedAt, confirmed := g.state.mirror.ConfirmedAt()
		c = mirrorCopy{
			Delta:           g.state.mirror.Since(after),
			ConfirmationAge: boot.Now() - confirmedAt,
			Confirmed:       confirmed,
		}
	})
	return c
}

// copyOnce requests the changes from a reader once and applies them. It returns an error
// if the request fails, or, after applying the changes, if the reader's last confirming
// read is too old.
func (g *Gateway) copyOnce(ctx context.Context, reader instance.Address) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var after mirror.Position
	g.state.withLock(func() { after = g.state.mirror.Position() })
	sentAt := boot.Now()
	c, err := g.requestMirror(ctx, reader, after)
	if err != nil {
		return err
	}
	g.state.update(func(m *mirror.Mirror) []store.Entry {
		changes := m.ApplyDelta(boot.Now(), c.Delta)
		if c.Confirmed {
			// The reader answered after the request was sent, so this time is no
			// later than that of the reader's own confirming read.
			m.ConfirmRead(sentAt-c.ConfirmationAge, c.At)
		}
		return changes
	})
	if c.At.Era < after.Era {
		return errors.Errorf("reader is in era %d, before %d", c.At.Era, after.Era)
	}
	if !c.Confirmed || c.ConfirmationAge > maxReaderConfirmationAge {
		return errors.Errorf("reader's last confirming read is %s old, more than %s", c.ConfirmationAge, maxReaderConfirmationAge)
	}
	return nil
}

// requestMirror requests the changes after a position from a reader.
func (g *Gateway) requestMirror(ctx context.Context, reader instance.Address, after mirror.Position) (mirrorCopy, error) {
	query := url.Values{
		"After": {strconv.FormatInt(after.Counter, 10)},
	}
	if after.Era > 0 {
		query.Set("Era", strconv.FormatInt(int64(after.Era), 10))
	}
	u := url.URL{
		Scheme:   "http",
		Host:     string(reader),
		Path:     "/",
		RawQuery: query.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return mirrorCopy{}, errors.Wrap(err, "request mirror")
	}
	response, err := g.peerClient.Do(request)
	if err != nil {
		return mirrorCopy{}, errors.Wrap(err, "request mirror")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxCopyBytes))
	if err != nil {
		return mirrorCopy{}, errors.Wrap(err, "read mirror")
	}
	if response.StatusCode != http.StatusOK {
		return mirrorCopy{}, errors.Errorf("request mirror: %s", response.Status)
	}
	return decodeMirrorCopy(content)
}

func encodeMirrorCopy(c mirrorCopy) []byte {
	b := appendNumber(nil, fieldCounter, uint64(c.At.Counter))
	if c.At.Era > 0 {
		b = appendNumber(b, fieldEra, uint64(c.At.Era))
	}
	b = appendNumber(b, fieldFull, protowire.EncodeBool(c.Full))
	b = appendNumber(b, fieldAge, uint64(c.ConfirmationAge.Microseconds()))
	b = appendNumber(b, fieldConfirmed, protowire.EncodeBool(c.Confirmed))
	for _, e := range c.Entries {
		entry := appendText(nil, fieldKey, e.Key)
		entry = appendText(entry, fieldValue, string(e.Value))
		entry = appendNumber(entry, fieldVersion, uint64(e.Version))
		entry = appendNumber(entry, fieldRemovedAt, uint64(e.RemovedAt))
		b = appendText(b, fieldEntry, string(entry))
	}
	return b
}

func decodeMirrorCopy(b []byte) (mirrorCopy, error) {
	var c mirrorCopy
	err := forEachField(b, func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case fieldCounter:
			c.At.Counter = int64(v)
		case fieldEra:
			c.At.Era = store.Era(v)
		case fieldFull:
			c.Full = protowire.DecodeBool(v)
		case fieldAge:
			c.ConfirmationAge = time.Duration(v) * time.Microsecond
		case fieldConfirmed:
			c.Confirmed = protowire.DecodeBool(v)
		case fieldEntry:
			e, err := decodeEntry(content)
			c.Entries = append(c.Entries, e)
			return err
		}
		return nil
	})
	return c, err
}

func decodeEntry(b []byte) (store.Entry, error) {
	var e store.Entry
	err := forEachField(b, func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case fieldKey:
			e.Key = string(content)
		case fieldValue:
			e.Value = append([]byte(nil), content...)
		case fieldVersion:
			e.Version = int64(v)
		case fieldRemovedAt:
			e.RemovedAt = int64(v)
		}
		return nil
	})
	return e, err
}

// forEachField calls visit for each field of a message, with its integer or its bytes.
// It returns errMalformed if b is not a valid message, or the first error of visit.
func forEachField(b []byte, visit func(n protowire.Number, v uint64, content []byte) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMalformed
		}
		b = b[size:]
		var v uint64
		var content []byte
		switch t {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			content, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return errMalformed
		}
		if err := visit(n, v, content); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}
