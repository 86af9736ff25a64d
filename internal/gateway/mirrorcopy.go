package gateway

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/internal/answercheck"
	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/source"
	"dandelionmux/pkg/store"
)

// Limits of copying a mirror.
const (
	// minCompressedBytes is the least size of entries that are worth compressing.
	minCompressedBytes = 4 << 10
	// maxLaterEntries is the number of changes after which all entries are encoded anew.
	maxLaterEntries = 500
	// copyTimeout bounds the wait for a reader's answer to begin, which may be held for two
	// thirds of it. Instances have only a part of a CPU core and may stall for a while.
	copyTimeout = 1200 * time.Millisecond
	// stallTime is how long nothing more may come of an answer that has begun, once the time for
	// its beginning is over.
	stallTime = 50 * time.Millisecond
	// firstCopyTimeout bounds the whole answer to an instance that has nothing yet: all
	// content takes a while over a slow link.
	firstCopyTimeout = 4 * time.Second
	// peerDialTimeout bounds connecting to an instance of the same zone.
	peerDialTimeout = 300 * time.Millisecond
	// maxCopyBytes bounds an answer, and what it is when it is decompressed. It has room for
	// a configuration of 1 MB and thousands of targets.
	maxCopyBytes = 8 << 20
)

// Field numbers of a mirrorCopy.
const (
	fieldCounter protowire.Number = iota + 1
	fieldFull
	fieldAge // in microseconds
	fieldConfirmed
	fieldEntry
	fieldEra
	fieldHeld // in microseconds
	fieldConfirmation
	fieldCompressed // entries
	fieldDigest
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
	transport := answercheck.NewTransport(dialer.DialContext)
	transport.DisableCompression = true
	transport.IdleConnTimeout = idleTimeout
	return &http.Client{
		Transport: transport,
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
	// Held is how long the request waited for the answer.
	Held time.Duration
	// Confirmation identifies the confirming read at the instance that answers; zero if it
	// gives none.
	Confirmation uint64
	// Digest is that of the mirror at its position; zero if the instance gives none.
	Digest uint64
}

// copiedFrom is what the last answer of an instance says.
type copiedFrom struct {
	// confirmation identifies its confirming read.
	confirmation uint64
	// differs is set if its content differs from a list of the store.
	differs bool
}

// mirrorRequest is what an instance asks another one for.
type mirrorRequest struct {
	// After is what the instance has, and Known the confirmation that the other gave last;
	// zero if there was none.
	After mirror.Position
	Known uint64
	// Differs tells the other that its content differs from a list of the store.
	Differs bool
	// Patience is how long to wait for the answer to begin, or to go on.
	Patience time.Duration
}

// errBusy says that an instance sends its content to others already.
var errBusy = errors.New("busy sending content")

// errOutdated says that an instance has no recently confirmed content.
var errOutdated = errors.New("no recently confirmed content")

// encodedEntries are the entries of an answer in the form in which they are sent. Many
// followers ask for the same.
type encodedEntries struct {
	after, at mirror.Position
	full      bool
	content   []byte
	// compressed is content compressed, as a field; nil if that isn't worth it.
	compressed []byte
	// later are entries that changed since content was encoded.
	later []byte
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

// parseConfirmation decodes the confirmation that a follower knows; zero if it knows none.
func parseConfirmation(query url.Values) uint64 {
	known, err := strconv.ParseUint(query.Get("Known"), 10, 64)
	if err != nil {
		return 0
	}
	return known
}

// serveMirror answers with the changes after a position, when package source decides so. An
// instance that isn't to be followed answers 503, so that followers choose another one.
func (g *Gateway) serveMirror(w http.ResponseWriter, r *http.Request) {
	after, err := parsePosition(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known := parseConfirmation(r.URL.Query())
	if r.URL.Query().Get("Differs") == "1" {
		g.relistIfDue()
	}
	arrivedAt := boot.Now()
	// Only a follower that says so asks another instance if this one is busy.
	limited := after.Counter == 0 && r.URL.Query().Get("Spread") == "1"
	for {
		c, reply, changed := g.lookAtMirror(after, known, arrivedAt, limited)
		var timer *time.Timer
		switch reply := reply.(type) {
		case source.Give:
			if limited {
				defer g.state.withLock(func() { g.state.fullCopies-- })
			}
			g.answerMirror(w, r, after, c)
			return
		case source.Defer:
			http.Error(w, errBusy.Error(), http.StatusTooManyRequests)
			return
		case source.Decline:
			http.Error(w, errOutdated.Error(), http.StatusServiceUnavailable)
			return
		case source.Hold:
			timer = time.NewTimer(reply.Until - boot.Now())
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// lookAtMirror returns what a follower may be answered without the entries, what to do with
// its request, and a channel that is closed when something has changed. If limited is set and
// the answer is Give, it is counted as a copy of all content that is being sent.
func (g *Gateway) lookAtMirror(after mirror.Position, known uint64, arrivedAt time.Duration, limited bool) (mirrorCopy, source.Reply, chan struct{}) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	confirmedAt, confirmed := st.mirror.ConfirmedAt()
	c := mirrorCopy{
		ConfirmationAge: now - confirmedAt,
		Confirmed:       confirmed && now-confirmedAt <= source.MaxAge,
		Held:            now - arrivedAt,
		Confirmation:    uint64(max(confirmedAt.Microseconds(), 0)),
	}
	reply := st.source.Answer(now, arrivedAt, source.Content{
		ConfirmedAt: confirmedAt,
		Confirmed:   confirmed,
		News:        st.mirror.IsAfter(after) || c.Confirmation != known,
		Reading:     g.readingStore.Load(),
		Leaving:     g.leaving.Load(),
		Full:        limited,
		Copies:      st.fullCopies,
	})
	if _, ok := reply.(source.Give); ok && limited {
		st.fullCopies++
	}
	return c, reply, st.mirrorChanged
}

// answerMirror sends what changed in the mirror after a position.
func (g *Gateway) answerMirror(w http.ResponseWriter, r *http.Request, after mirror.Position, c mirrorCopy) {
	mayCompress := r.URL.Query().Get("Compressed") == "1"
	e, err := g.encodeEntries(after, mayCompress)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	content := e.content
	if e.compressed != nil && mayCompress {
		content = e.compressed
	}
	c.At, c.Full = e.at, e.full
	g.state.withLock(func() {
		// The digest isn't kept with the entries: it must show what the mirror holds now.
		if m := g.state.mirror; m.Position() == c.At {
			c.Digest = m.Digest()
		}
	})
	_, _ = w.Write(slices.Concat(encodeMirrorCopy(c), content, e.later))
}

// encodeEntries returns the encoded entries that changed after a position. They are encoded
// once for all followers that are at the same position. All entries, which instances that
// start ask for, aren't compressed again at each change: what has changed since follows them.
func (g *Gateway) encodeEntries(after mirror.Position, mayCompress bool) (encodedEntries, error) {
	g.copyMu.Lock()
	defer g.copyMu.Unlock()
	var at mirror.Position
	g.state.withLock(func() { at = g.state.mirror.Position() })
	for _, e := range g.copies {
		if e.after == after && e.at == at && (mayCompress || len(e.later) == 0) {
			return e, nil
		}
	}
	if after.Counter == 0 && mayCompress {
		if e, ok := g.extendFullCopy(); ok {
			g.keepCopy(e)
			return e, nil
		}
	}
	var d mirror.Delta
	g.state.withLock(func() { d = g.state.mirror.Since(after) })
	e := encodedEntries{
		after:   after,
		at:      d.At,
		full:    d.Full,
		content: appendEntries(nil, d.Entries),
	}
	if after.Counter == 0 && len(e.content) >= minCompressedBytes {
		compressed, err := compress(e.content)
		if err != nil {
			return encodedEntries{}, err
		}
		e.compressed = appendText(nil, fieldCompressed, string(compressed))
		g.fullCopy = e
		g.count("Mirror.Compressed")
	}
	g.keepCopy(e)
	return e, nil
}

// extendFullCopy returns all entries as they were compressed last, with what has changed since.
// It returns false if that is too much. The caller holds copyMu.
func (g *Gateway) extendFullCopy() (encodedEntries, bool) {
	e := g.fullCopy
	var later mirror.Delta
	current := false
	g.state.withLock(func() {
		m := g.state.mirror
		current = e.compressed != nil && (m.Position() == e.at || m.IsAfter(e.at))
		if current {
			later = m.Since(e.at)
		}
	})
	if !current || later.Full || len(later.Entries) > maxLaterEntries {
		return encodedEntries{}, false
	}
	e.at, e.later = later.At, appendEntries(nil, later.Entries)
	return e, true
}

// keepCopy keeps an answer for other followers. The caller holds copyMu.
func (g *Gateway) keepCopy(e encodedEntries) {
	g.copies[g.nextCopy] = e
	g.nextCopy = (g.nextCopy + 1) % len(g.copies)
}

// compress returns content compressed.
func compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(content); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// decompress returns what compress was given, unless that is longer than maxCopyBytes.
func decompress(content []byte) ([]byte, error) {
	plain, err := answercheck.ReadBody(flate.NewReader(bytes.NewReader(content)), maxCopyBytes)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return plain, nil
}

// copyOnce requests the changes from another instance once and applies them. It returns an
// error if the request fails, or, after applying the changes, if the other's last confirming
// read is too old.
func (g *Gateway) copyOnce(ctx context.Context, next source.Follow, last *copiedFrom) error {
	from := next.Instance
	var after mirror.Position
	g.state.withLock(func() { after = g.state.mirror.Position() })
	timeout := copyTimeout
	if after.Counter == 0 {
		timeout = firstCopyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := boot.Now()
	patience := copyTimeout
	if next.Until > 0 {
		patience = min(patience, max(next.Until-sentAt, 0))
	}
	c, err := g.requestMirror(ctx, from, mirrorRequest{
		After:    after,
		Known:    last.confirmation,
		Differs:  last.differs,
		Patience: patience,
	})
	if err != nil {
		return err
	}
	last.confirmation, last.differs = c.Confirmation, false
	copied := origin{
		Path: byCopy,
		Peer: from,
	}
	g.state.update(copied, func(m *mirror.Mirror) []store.Entry {
		changes := m.ApplyDelta(boot.Now(), c.Delta)
		if c.Confirmed {
			// The request arrived after it was sent, so this time is no later than that
			// of the other's confirming read.
			m.ConfirmRead(sentAt+min(c.Held, boot.Now()-sentAt)-c.ConfirmationAge, c.At)
		}
		return changes
	})
	g.compare(ctx, next.Instance, c, last)
	if c.At.Era < after.Era {
		return errors.Wrapf(errOutdated, "era %d, before %d", c.At.Era, after.Era)
	}
	if !c.Confirmed || c.ConfirmationAge > source.MaxAge {
		return errors.Wrapf(errOutdated, "confirmed %s ago, more than %s", c.ConfirmationAge, source.MaxAge)
	}
	return nil
}

// requestMirror requests another instance's changes.
func (g *Gateway) requestMirror(ctx context.Context, from instance.Address, m mirrorRequest) (mirrorCopy, error) {
	query := url.Values{
		"After": {strconv.FormatInt(m.After.Counter, 10)},
	}
	if m.After.Era > 0 {
		query.Set("Era", strconv.FormatInt(int64(m.After.Era), 10))
	}
	if m.Known > 0 {
		query.Set("Known", strconv.FormatUint(m.Known, 10))
	}
	if m.Differs {
		query.Set("Differs", "1")
	}
	if m.After.Counter == 0 {
		query.Set("Compressed", "1")
		query.Set("Spread", "1")
	}
	u := url.URL{
		Scheme:   "http",
		Host:     string(from),
		Path:     "/",
		RawQuery: query.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return mirrorCopy{}, errors.Wrap(err, "request mirror")
	}
	stall := stallTime
	if m.After.Counter == 0 {
		stall = firstCopyTimeout
	}
	response, err := g.fetch(request, m.Patience, stall)
	if err != nil {
		return mirrorCopy{}, errors.Wrap(err, "request mirror")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := answercheck.ReadBody(response.Body, maxCopyBytes)
	if err != nil {
		return mirrorCopy{}, errors.Wrap(err, "read mirror")
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return mirrorCopy{}, errors.Wrap(errOutdated, response.Status)
	case http.StatusTooManyRequests:
		return mirrorCopy{}, errors.Wrap(errBusy, response.Status)
	default:
		return mirrorCopy{}, errors.Errorf("request mirror: %s", response.Status)
	}
	if answercheck.EndsWithConnection(response) { // instances give a length or send chunks
		return mirrorCopy{}, errors.Wrap(errMalformed, "mirror without a length")
	}
	return decodeMirrorCopy(content)
}

// fetch sends a request to another instance. It is given up when nothing has come after patience,
// or later no more for stallTime. An instance without content takes its time: nothing depends on
// it yet.
func (g *Gateway) fetch(r *http.Request, patience, stallTime time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	body := &patientBody{
		ctx:       ctx,
		until:     time.Now().Add(patience),
		stallTime: stallTime,
		timer:     time.AfterFunc(patience, func() { cancel(os.ErrDeadlineExceeded) }),
		cancel:    cancel,
		giveUp:    g.peerClient.CloseIdleConnections,
	}
	response, err := g.peerClient.Do(r.WithContext(ctx))
	if err != nil {
		body.timer.Stop()
		err = body.cause(err)
		cancel(nil)
		return nil, err
	}
	body.ReadCloser = response.Body
	body.extend()
	response.Body = body
	return response, nil
}

// patientBody is the body of an answer that is given up when no more of it comes.
type patientBody struct {
	io.ReadCloser
	ctx context.Context
	// until is the earliest time at which it is given up, and timer ends its request then.
	until     time.Time
	stallTime time.Duration
	timer     *time.Timer
	cancel    context.CancelCauseFunc
	// giveUp closes the connections that are kept: what makes one go silent usually does so to
	// others, and each would cost a copy its time.
	giveUp func()
}

// extend gives the rest of the body stallTime at least.
func (b *patientBody) extend() {
	b.timer.Reset(max(time.Until(b.until), b.stallTime))
}

// cause returns os.ErrDeadlineExceeded in place of an error that comes from giving up, and calls
// giveUp then.
func (b *patientBody) cause(err error) error {
	if errors.Is(context.Cause(b.ctx), os.ErrDeadlineExceeded) {
		b.giveUp()
		return os.ErrDeadlineExceeded
	}
	return err
}

// Read implements io.Reader.
func (b *patientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.extend()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.cause(err)
	}
	return n, err
}

// Close implements io.Closer. It ends the request's context.
func (b *patientBody) Close() error {
	b.timer.Stop()
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

func encodeMirrorCopy(c mirrorCopy) []byte {
	b := appendNumber(nil, fieldCounter, uint64(c.At.Counter))
	if c.At.Era > 0 {
		b = appendNumber(b, fieldEra, uint64(c.At.Era))
	}
	b = appendNumber(b, fieldFull, protowire.EncodeBool(c.Full))
	b = appendNumber(b, fieldAge, uint64(c.ConfirmationAge.Microseconds()))
	b = appendNumber(b, fieldConfirmed, protowire.EncodeBool(c.Confirmed))
	if c.Held > 0 {
		b = appendNumber(b, fieldHeld, uint64(c.Held.Microseconds()))
	}
	if c.Confirmation > 0 {
		b = appendNumber(b, fieldConfirmation, c.Confirmation)
	}
	if c.Digest > 0 {
		b = appendNumber(b, fieldDigest, c.Digest)
	}
	return appendEntries(b, c.Entries)
}

// appendEntries appends the wire form of entries.
func appendEntries(b []byte, entries []store.Entry) []byte {
	for _, e := range entries {
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
	compressed := false
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
		case fieldHeld:
			c.Held = time.Duration(v) * time.Microsecond
		case fieldConfirmation:
			c.Confirmation = v
		case fieldDigest:
			c.Digest = v
		case fieldEntry:
			e, err := decodeEntry(content)
			c.Entries = append(c.Entries, e)
			return err
		case fieldCompressed:
			entries, err := decodeCompressed(content)
			c.Entries = append(c.Entries, entries...)
			compressed = true
			return err
		}
		return nil
	})
	if compressed {
		c.Entries = mirror.Latest(c.Entries)
	}
	return c, err
}

// decodeCompressed decodes entries that were compressed.
func decodeCompressed(b []byte) ([]store.Entry, error) {
	plain, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var entries []store.Entry
	err = forEachField(plain, func(n protowire.Number, _ uint64, content []byte) error {
		if n != fieldEntry {
			return nil
		}
		e, err := decodeEntry(content)
		entries = append(entries, e)
		return err
	})
	return entries, err
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
