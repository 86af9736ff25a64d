package answercheck

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed says that an answer breaks the syntax of HTTP/1.1.
var ErrMalformed = errors.New("malformed answer")

// maxLineBytes bounds a line of an answer's head, of its trailer, or with the size of a chunk.
const maxLineBytes = 64 << 10

// section is the part of an answer that the next line or byte belongs to.
type section int

const (
	inStatusLine section = iota
	inFields
	inChunkSize
	inChunk
	inTrailer
	// inRest has no syntax: a body without chunks, or what follows the answer.
	inRest
)

// responseChecker follows the answers to one request: interim ones and the final one. The zero
// value waits for the first byte.
type responseChecker struct {
	section section
	// methodIsHead is set if the request's method is HEAD, so that the answer has no body.
	methodIsHead bool
	// partial is the beginning of a line whose end hasn't been read.
	partial []byte
	// chunkLeft is how much of a chunk is missing, with its line end.
	chunkLeft int64
	head      head
}

// head is what the lines of a head say.
type head struct {
	// status has three bytes, which the HTTP client checks.
	status string
	// old is set if the version is 1.0.
	old bool
	// fields is the number of fields, and framing is set if the last one is Content-Length or
	// Transfer-Encoding.
	fields  int
	framing bool
	// length is the value of Content-Length; empty if there is none.
	length  string
	chunked bool
}

// hasFinalHead reports whether the head of the final answer has ended.
func (r *responseChecker) hasFinalHead() bool { return r.section > inFields }

// check takes further bytes. It returns how many of them there are up to the end of a line that
// breaks the syntax, and an error that wraps ErrMalformed if there is such a line. The HTTP client
// can't use such a line, since neither a head nor a chunk ends with it.
func (r *responseChecker) check(b []byte) (int, error) {
	used := 0
	for used < len(b) && r.section != inRest {
		rest := b[used:]
		if r.section == inChunk {
			skipped := min(r.chunkLeft, int64(len(rest)))
			r.skipChunk(skipped)
			used += int(skipped)
			continue
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			end = len(rest)
		}
		if len(r.partial)+end > maxLineBytes {
			return used, errors.Wrap(ErrMalformed, "line too long")
		}
		if end == len(rest) {
			r.partial = append(r.partial, rest...)
			break
		}
		line := rest[:end]
		if len(r.partial) > 0 {
			line = append(r.partial, line...)
			r.partial = nil
		}
		if err := r.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return used + end + 1, err
		}
		used += end + 1
	}
	return len(b), nil
}

// checkLine takes a line without its end.
func (r *responseChecker) checkLine(line []byte) error {
	switch r.section {
	case inStatusLine:
		r.section = inFields
		return r.head.setStatusLine(line)
	case inChunkSize:
		return r.beginChunk(line)
	default:
		if len(line) > 0 {
			return r.head.addField(line)
		}
		r.endFields()
		return nil
	}
}

// endFields ends a head or a trailer.
func (r *responseChecker) endFields() {
	h := r.head
	r.head = head{}
	switch {
	case r.section == inTrailer:
		r.section = inRest
	case h.isInterim():
		r.section = inStatusLine
	case h.chunked && !r.methodIsHead && h.allowsBody():
		r.section = inChunkSize
	default:
		r.section = inRest
	}
}

// beginChunk takes the line with the size of a chunk. The HTTP client checks what follows the size.
func (r *responseChecker) beginChunk(line []byte) error {
	text, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 62)
	switch {
	case err != nil:
		return errors.Wrapf(ErrMalformed, "size of a chunk: %q", excerpt(line))
	case size == 0:
		r.section = inTrailer
	default:
		r.section, r.chunkLeft = inChunk, int64(size)+int64(len("\r\n"))
	}
	return nil
}

// skipChunk skips a part of a chunk and of its line end. The HTTP client checks that line end.
func (r *responseChecker) skipChunk(n int64) {
	if r.chunkLeft -= n; r.chunkLeft == 0 {
		r.section = inChunkSize
	}
}

// setStatusLine parses the first line of a head. The reason may be missing with the blank before it.
func (h *head) setStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	status, reason, _ := strings.Cut(rest, " ")
	minor, known := strings.CutPrefix(version, "HTTP/1.")
	switch {
	case !known || len(minor) != 1 || minor[0] < '0' || minor[0] > '9':
		return errors.Wrapf(ErrMalformed, "version: %q", excerpt(line))
	case len(status) != len("200"):
		return errors.Wrapf(ErrMalformed, "status: %q", excerpt(line))
	case !httpguts.ValidHeaderFieldValue(reason):
		return errors.Wrapf(ErrMalformed, "reason: %q", excerpt(line))
	}
	h.status, h.old = status, minor == "0"
	return nil
}

// addField parses a line of a head or a trailer that isn't empty: a field, or the continuation of
// the one before, in which a length or an encoding can't be told reliably.
func (h *head) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		if h.fields == 0 || h.framing || !httpguts.ValidHeaderFieldValue(string(line)) {
			return errors.Wrapf(ErrMalformed, "continued field: %q", excerpt(line))
		}
		return nil
	}
	name, value, _ := strings.Cut(string(line), ":")
	if len(name) == len(line) || !httpguts.ValidHeaderFieldName(name) {
		return errors.Wrapf(ErrMalformed, "name of a field: %q", excerpt(line))
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return errors.Wrapf(ErrMalformed, "value of a field: %q", excerpt(line))
	}
	h.fields++
	return h.addFraming(name, strings.Trim(value, " \t"))
}

// addFraming takes a field if it says how long the body is. The HTTP client checks its value.
func (h *head) addFraming(name, value string) error {
	h.framing = true
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if h.length != "" && h.length != value {
			return errors.Wrapf(ErrMalformed, "two lengths: %q and %q", h.length, value)
		}
		h.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || h.old {
			return errors.Wrap(ErrMalformed, "two transfer encodings, or one in HTTP/1.0")
		}
		h.chunked = true
	default:
		h.framing = false
	}
	if h.chunked && h.length != "" {
		return errors.Wrap(ErrMalformed, "both a length and a transfer encoding")
	}
	return nil
}

// isInterim reports whether another head follows. After status 101 none does.
func (h *head) isInterim() bool { return h.status[0] == '1' && h.status != "101" }

// allowsBody reports whether an answer with the status may have a body.
func (h *head) allowsBody() bool {
	return h.status != "204" && h.status != "304" && h.status[0] != '1'
}

// maxExcerptBytes bounds what an error quotes of an answer.
const maxExcerptBytes = 80

func excerpt(line []byte) []byte { return line[:min(len(line), maxExcerptBytes)] }
