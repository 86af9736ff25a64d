package forward_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionmux/internal/forward"
)

var answerSeeds = flag.Int("answer-seeds", 2, "seeds of generated answers, 4000 of each")

// script is what a target does with one request.
type script struct {
	method string
	// upload is the size of the request's body.
	upload int
	answer []byte
	// takes is how much of the request the target reads before it answers; negative for all.
	takes int
	// reset ends the connection with a reset instead of an ordinary end, after which writes that
	// aren't taken fail. reportedToWrite has the reset reported to a write, if one is still to come.
	reset, reportedToWrite bool
	// part is the size of the pieces in which the answer arrives.
	part int
}

func (s script) String() string {
	return fmt.Sprintf("%s with %d bytes, of which %d are taken, answered in pieces of %d bytes, reset %t (to a write %t): %q",
		s.method, s.upload, s.takes, s.part, s.reset, s.reportedToWrite, s.answer)
}

// lastUploadByte ends the bodies of requests.
const lastUploadByte = '$'

// scriptedTarget is the client's end of a connection to a target that follows a script.
type scriptedTarget struct {
	net.Conn
	script script

	mu      sync.Mutex
	changed *sync.Cond
	taken   int
	// whole is set once all of the request has been taken, and blocked while a write waits.
	whole, blocked bool
	answer         []byte
	// isReset is set once the connection has been reset, and reported once a call was told.
	isReset, reported bool
	// hasEnded is set once a read has found the ordinary end.
	hasEnded bool
	closed   bool
}

func newScriptedTarget(s script) *scriptedTarget {
	c := &scriptedTarget{
		script: s,
		answer: s.answer,
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *scriptedTarget) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := c.script.takes >= 0 && c.taken+len(b) > c.script.takes
	for full && !c.closed && !c.hasEnded && (!c.isReset || !c.script.reportedToWrite && !c.reported) {
		c.blocked = true
		c.changed.Broadcast()
		c.changed.Wait()
	}
	c.blocked = false
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case full && c.hasEnded, c.isReset && c.reported:
		return 0, syscall.EPIPE
	case c.isReset:
		c.reported = true
		c.changed.Broadcast()
		return 0, syscall.ECONNRESET
	}
	c.taken += len(b)
	end := "\r\n\r\n"
	if c.script.upload > 0 {
		end = string(lastUploadByte)
	}
	c.whole = c.whole || bytes.HasSuffix(b, []byte(end))
	c.changed.Broadcast()
	return len(b), nil
}

func (c *scriptedTarget) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.whole && !c.blocked && !c.isReset && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(c.answer) > 0 {
		n := copy(b, c.answer[:min(c.script.part, len(c.answer))])
		c.answer = c.answer[n:]
		return n, nil
	}
	if !c.script.reset {
		c.hasEnded = true
		c.changed.Broadcast()
		return 0, io.EOF
	}
	c.isReset = true
	c.changed.Broadcast()
	for !c.whole && c.script.reportedToWrite && !c.reported && !c.closed {
		c.changed.Wait()
	}
	if c.reported {
		return 0, io.EOF
	}
	c.reported = true
	c.changed.Broadcast()
	return 0, syscall.ECONNRESET
}

func (c *scriptedTarget) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return nil
}

func (c *scriptedTarget) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *scriptedTarget) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// message is an answer as a caller may get it.
type message struct {
	status int
	body   string
}

// play returns the whole answer that a client gets, and false if it gets none.
func (s script) play(t testing.TB) (message, bool) {
	client := forward.New(forward.WithDialContext(func(context.Context, string, string) (net.Conn, error) {
		return newScriptedTarget(s), nil
	}))
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	body := ""
	if s.upload > 0 {
		body = strings.Repeat("u", s.upload-1) + string(lastUploadByte)
	}
	answered, ok := client.Do(ctx, forward.Attempt{
		Address: "127.0.0.1:1",
		Request: newRequest(s.method, body),
	}).(forward.Answered)
	if ctx.Err() != nil {
		t.Errorf("not answered in time: %s", s)
	}
	if !ok {
		return message{}, false
	}
	defer answered.CloseConn()
	defer func() { _ = answered.Response.Body.Close() }()
	if answered.Response.StatusCode < 200 { // is refused by package entry
		return message{}, false
	}
	content, err := io.ReadAll(answered.Response.Body)
	if ctx.Err() != nil {
		t.Errorf("body not read in time: %s", s)
	}
	return message{
		status: answered.Response.StatusCode,
		body:   string(content),
	}, err == nil
}

// The grammar of RFC 9112, with bare line ends and a status line without reason.
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) ([0-9]{3})( [\t -~\x80-\xff]*)?$`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):([\\t -~\\x80-\\xff]*)$")
	foldedLine = regexp.MustCompile(`^[ \t][\t -~\x80-\xff]*$`)
	chunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})[ \t]*(;[\t -~\x80-\xff]*)?$`)
)

var errNoMessage = errors.New("no message")

// strictReader reads an answer by the grammar.
type strictReader struct{ rest string }

// line returns the next line without its end.
func (r *strictReader) line() (string, error) {
	line, rest, ended := strings.Cut(r.rest, "\n")
	if !ended {
		return "", errNoMessage
	}
	r.rest = rest
	return latin1(strings.TrimSuffix(line, "\r")), nil
}

// latin1 returns the bytes of a text as characters, which regular expressions match.
func latin1(text string) string {
	characters := make([]rune, len(text))
	for i := range len(text) {
		characters[i] = rune(text[i])
	}
	return string(characters)
}

// fields returns the values of the fields up to an empty line, by names in lower case.
func (r *strictReader) fields() (map[string][]string, error) {
	fields := map[string][]string{}
	last := ""
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if line == "" {
			return fields, nil
		}
		if foldedLine.MatchString(line) && last != "" {
			values := fields[last]
			values[len(values)-1] += line
			continue
		}
		found := fieldLine.FindStringSubmatch(line)
		if found == nil {
			return nil, errNoMessage
		}
		last = strings.ToLower(found[1])
		fields[last] = append(fields[last], found[2])
	}
}

// read returns the final answer to a request with the method. closed says that the end of what is
// read is that of the answer, if it has no length.
func (r *strictReader) read(method string, closed bool) (message, error) {
	line, err := r.line()
	if err != nil {
		return message{}, err
	}
	found := statusLine.FindStringSubmatch(line)
	if found == nil {
		return message{}, errNoMessage
	}
	status, _ := strconv.Atoi(found[2])
	fields, err := r.fields()
	if err != nil {
		return message{}, err
	}
	lengths, encodings := fields["content-length"], fields["transfer-encoding"]
	switch {
	case status < 200 && (status < 100 || status == 101 || len(lengths)+len(encodings) > 0):
		return message{}, errNoMessage
	case status < 200:
		return r.read(method, closed)
	case len(lengths) > 0 && len(encodings) > 0, len(encodings) > 1, len(encodings) == 1 && found[1] == "0":
		return message{}, errNoMessage
	}
	body, err := r.body(lengths, encodings, method == http.MethodHead || status == 204 || status == 304, closed)
	return message{
		status: status,
		body:   body,
	}, err
}

func (r *strictReader) body(lengths, encodings []string, empty, closed bool) (string, error) {
	length := -1
	for _, text := range lengths {
		n, err := strconv.ParseUint(strings.Trim(text, " \t"), 10, 31)
		if err != nil || length >= 0 && length != int(n) {
			return "", errNoMessage
		}
		length = int(n)
	}
	switch {
	case len(encodings) > 0 && !strings.EqualFold(strings.Trim(encodings[0], " \t"), "chunked"):
		return "", errNoMessage
	case empty:
		return "", nil
	case len(encodings) > 0:
		return r.chunks()
	case length > len(r.rest), length < 0 && !closed:
		return "", errNoMessage
	case length >= 0:
		return r.rest[:length], nil
	}
	return r.rest, nil
}

func (r *strictReader) chunks() (string, error) {
	var body strings.Builder
	for {
		line, err := r.line()
		if err != nil {
			return "", err
		}
		found := chunkLine.FindStringSubmatch(line)
		if found == nil {
			return "", errNoMessage
		}
		size, _ := strconv.ParseInt(found[1], 16, 64)
		if size == 0 {
			_, err := r.fields()
			return body.String(), err
		}
		if size > int64(len(r.rest)) {
			return "", errNoMessage
		}
		body.WriteString(r.rest[:size])
		r.rest = r.rest[size:]
		if end, err := r.line(); err != nil || end != "" {
			return "", errNoMessage
		}
	}
}

// check plays a script, and compares what a caller gets with what the strict reader reads. It
// returns whether the caller got a whole answer.
func (s script) check(t testing.TB) bool {
	got, whole := s.play(t)
	if !whole {
		return false
	}
	reader := &strictReader{rest: string(s.answer)}
	want, err := reader.read(s.method, !s.reset && s.takes < 0)
	if err != nil || got != want {
		t.Errorf("%s:\ncaller got %d %q, strict reader %d %q, %v", s, got.status, got.body, want.status, want.body, err)
	}
	return true
}

// generate returns a script, and whether its answer is sound.
func generate(random *rand.Rand) (script, bool) {
	pick := func(texts ...string) string { return texts[random.IntN(len(texts))] }
	s := script{
		method: pick(http.MethodGet, http.MethodPost, http.MethodHead),
		takes:  -1,
		part:   1 + random.IntN(1+random.IntN(300)),
	}
	var b strings.Builder
	newline := pick("\r\n", "\r\n", "\n")
	for range random.IntN(2) * random.IntN(3) {
		b.WriteString("HTTP/1.1 103 Hints" + newline + "Link: a" + newline + newline)
	}
	version := pick("HTTP/1.1", "HTTP/1.1", "HTTP/1.0")
	b.WriteString(version + pick(" 200 OK", " 200", " 503 Busy", " 204 None") + newline)
	fields := []string{"Retry-After: 1", "X-More:a b\t", "X-Empty:", "X-Long: " + strings.Repeat("x", random.IntN(6000)), "Connection: close", "X-Folded: a" + newline + " b"}
	random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	fields = fields[:random.IntN(len(fields)+1)]
	body := strings.Repeat("b", random.IntN(2)*random.IntN(2000))
	framing := pick("length", "chunks", "none")
	switch {
	case framing == "chunks" && version == "HTTP/1.1":
		fields = append(fields, "Transfer-Encoding: "+pick("chunked", "Chunked"))
		chunks := ""
		for left := body; left != ""; {
			n := 1 + random.IntN(len(left))
			chunks += strconv.FormatInt(int64(n), 16) + pick("", ";a=b") + "\r\n" + left[:n] + "\r\n"
			left = left[n:]
		}
		body = chunks + "0\r\n" + pick("", "X-Trailer: 1\r\n") + "\r\n"
	case framing == "length":
		fields = append(fields, "Content-Length: "+strconv.Itoa(len(body)))
	}
	for _, i := range random.Perm(len(fields)) {
		b.WriteString(fields[i] + newline)
	}
	b.WriteString(newline + body)
	s.answer = []byte(b.String())
	sound := true
	if random.IntN(2) == 0 {
		s.method, s.upload = http.MethodPost, random.IntN(100_000)
		if s.upload > 0 && random.IntN(2) == 0 {
			s.takes = random.IntN(s.upload)
			sound = false
		}
	}
	if random.IntN(2) == 0 {
		s.reset, s.reportedToWrite = true, random.IntN(2) == 0
		sound = false
	}
	for range random.IntN(2) * random.IntN(3) {
		s.answer = mutate(random, s.answer)
		sound = false
	}
	return s, sound
}

// mutate returns an answer with one change.
func mutate(random *rand.Rand, answer []byte) []byte {
	if len(answer) == 0 {
		return answer
	}
	const odd = " \t\x00\x01\r\n:;,0a\x7f\xe9"
	at := random.IntN(min(len(answer), 1+random.IntN(len(answer))))
	switch random.IntN(5) {
	case 0:
		return slices.Insert(slices.Clone(answer), at, odd[random.IntN(len(odd))])
	case 1:
		return slices.Delete(slices.Clone(answer), at, at+1)
	case 2:
		changed := slices.Clone(answer)
		changed[at] = odd[random.IntN(len(odd))]
		return changed
	case 3:
		return answer[:at]
	default: // repeats a line
		lines := bytes.SplitAfter(answer, []byte("\n"))
		n := random.IntN(len(lines))
		return bytes.Join(slices.Insert(lines, n, lines[n]), nil)
	}
}

// Guards against answers that reach a caller whole although they break the grammar, broke off or
// were reset, in any order of the events on the connection; and against sound ones that don't.
func TestGeneratedAnswers(t *testing.T) {
	const scripts = 4000
	for seed := range *answerSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			began, whole := time.Now(), 0
			for range scripts {
				s, sound := generate(random)
				got := s.check(t)
				if sound && !got {
					t.Errorf("no whole answer to %s", s)
				}
				if got {
					whole++
				}
				if t.Failed() {
					return
				}
			}
			t.Logf("%d of %d answers were whole, in %s", whole, scripts, time.Since(began))
		})
	}
}

func FuzzAnswer(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		s, _ := generate(random)
		f.Add(s.answer, s.method, s.upload, s.takes, s.reset, s.reportedToWrite, s.part)
	}
	f.Fuzz(func(t *testing.T, answer []byte, method string, upload, takes int, reset, reportedToWrite bool, part int) {
		if !slices.Contains([]string{http.MethodGet, http.MethodPost, http.MethodHead}, method) || upload < 0 || upload > 1<<20 || part <= 0 {
			return
		}
		if method != http.MethodPost {
			upload = 0
		}
		if takes >= upload {
			takes = -1
		}
		script{
			method:          method,
			upload:          upload,
			answer:          answer,
			takes:           takes,
			reset:           reset,
			reportedToWrite: reportedToWrite,
			part:            part,
		}.check(t)
	})
}
