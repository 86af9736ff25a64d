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
	// relayHold is how long a reader holds an answer back for news.
	relayHold = 500 * time.Millisecond
	// relayTimeout bounds the wait for a reader. Instances have part of a core
	// and may stand still for a while.
	relayTimeout = relayHold + 400*time.Millisecond
	// relayDial bounds a connection's setting up inside a zone.
	relayDial = 300 * time.Millisecond
	// relayBytes bounds an answer, a configuration of a megabyte and thousands
	// of targets included.
	relayBytes = 32 << 20
)

const (
	fieldCounter protowire.Number = iota + 1
	fieldWhole
	fieldAge
	fieldProved
	fieldEntry
)

const (
	fieldKey protowire.Number = iota + 1
	fieldValue
	fieldVersion
	fieldRemoved
)

func newPeerClient() *http.Client {
	dialer := net.Dialer{
		Timeout: relayDial,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
		},
	}
}

// copied is a part of another instance's mirror, with its proof.
type copied struct {
	mirror.Delta
	// Age is how old the proof was when the answer was made.
	Age    time.Duration
	Proved bool
}

// serveMirror answers with what changed after the counter that is asked for, as
// soon as there is something, or with the newest proof alone. An instance that
// doesn't read the store, or whose proof is stale, refuses, so that its followers
// look elsewhere at once and no two instances follow each other.
func (g *Gateway) serveMirror(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		http.Error(w, "After: want a counter", http.StatusBadRequest)
		return
	}
	until := boot.Now() + relayHold
	for {
		now := boot.Now()
		at, proved := g.provedAt()
		if !g.reading.Load() || !proved || now-at > staleReader {
			http.Error(w, "not reading the store", http.StatusServiceUnavailable)
			return
		}
		if !g.awaitNews(r.Context(), after, min(until, at+staleReader)-now) {
			break
		}
	}
	_, _ = w.Write(encodeCopied(g.copied(after)))
}

// awaitNews waits until the mirror is past the counter, or for a time. It
// reports whether the caller should look again.
func (g *Gateway) awaitNews(ctx context.Context, after int64, wait time.Duration) bool {
	var news bool
	var changed chan struct{}
	g.belief.look(func() {
		news = g.belief.mirror.Counter() > after
		changed = g.belief.changed
	})
	if news || wait <= 0 {
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

func (g *Gateway) copied(after int64) copied {
	var c copied
	g.belief.look(func() {
		at, proved := g.belief.mirror.ConfirmedAt()
		c = copied{
			Delta:  g.belief.mirror.Since(after),
			Age:    boot.Now() - at,
			Proved: proved,
		}
	})
	return c
}

// copyOnce asks another instance once for what changed.
func (g *Gateway) copyOnce(ctx context.Context, source instance.Address) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var after int64
	g.belief.look(func() { after = g.belief.mirror.Counter() })
	sent := boot.Now()
	c, err := g.askMirror(ctx, source, after)
	if err != nil {
		return err
	}
	g.belief.update(func(m *mirror.Mirror) []store.Entry {
		news := m.ApplyDelta(c.Delta)
		if c.Proved {
			// The answer was made after it was asked for, so this is no later
			// than the reader's own proof.
			m.ConfirmRead(sent-c.Age, c.Counter)
		}
		return news
	})
	if !c.Proved || c.Age > staleReader {
		return errors.Errorf("proof is %s old", c.Age)
	}
	return nil
}

func (g *Gateway) askMirror(ctx context.Context, source instance.Address, after int64) (copied, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     string(source),
		Path:     "/",
		RawQuery: url.Values{"After": {strconv.FormatInt(after, 10)}}.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return copied{}, errors.Wrap(err, "ask for mirror")
	}
	response, err := g.peers.Do(request)
	if err != nil {
		return copied{}, errors.Wrap(err, "ask for mirror")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, relayBytes))
	if err != nil {
		return copied{}, errors.Wrap(err, "read mirror")
	}
	if response.StatusCode != http.StatusOK {
		return copied{}, errors.Errorf("ask for mirror: %s", response.Status)
	}
	return decodeCopied(content)
}

func encodeCopied(c copied) []byte {
	b := number(nil, fieldCounter, uint64(c.Counter))
	b = number(b, fieldWhole, protowire.EncodeBool(c.Full))
	b = number(b, fieldAge, uint64(c.Age.Microseconds()))
	b = number(b, fieldProved, protowire.EncodeBool(c.Proved))
	for _, e := range c.Entries {
		one := text(nil, fieldKey, e.Key)
		one = text(one, fieldValue, string(e.Value))
		one = number(one, fieldVersion, uint64(e.Version))
		one = number(one, fieldRemoved, uint64(e.RemovedAt))
		b = text(b, fieldEntry, string(one))
	}
	return b
}

func decodeCopied(b []byte) (copied, error) {
	var c copied
	err := eachField(b, func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case fieldCounter:
			c.Counter = int64(v)
		case fieldWhole:
			c.Full = protowire.DecodeBool(v)
		case fieldAge:
			c.Age = time.Duration(v) * time.Microsecond
		case fieldProved:
			c.Proved = protowire.DecodeBool(v)
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
	err := eachField(b, func(n protowire.Number, v uint64, content []byte) error {
		switch n {
		case fieldKey:
			e.Key = string(content)
		case fieldValue:
			e.Value = append([]byte(nil), content...)
		case fieldVersion:
			e.Version = int64(v)
		case fieldRemoved:
			e.RemovedAt = int64(v)
		}
		return nil
	})
	return e, err
}

// eachField calls take for each number and text of a message.
func eachField(b []byte, take func(n protowire.Number, v uint64, content []byte) error) error {
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
		if err := take(n, v, content); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}
