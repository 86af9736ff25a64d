// Package story finds the log lines that explain what happened to a request, in the
// logs of any number of instances.
//
// A line consists of key=value pairs, as slog.TextHandler writes them, and has a
// time and a message. Whatever precedes "time=", such as a log collector's prefix,
// is ignored.
//
// # Usage
//
//	lines, err := story.Read(file)
//	for _, l := range story.ForRequest("9c41d07be2a35f68", lines) {
//		fmt.Println(l.Text)
//	}
package story

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// targetWindow is how long before a request's line that names a target the lines
// about that target are included. It covers an ejection (3 s) and the probation
// after it (9 s), see package outlier.
const targetWindow = 12 * time.Second

// maxLineBytes limits the length of a line.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	Time time.Time
	// Message is the value of msg.
	Message string
	// Fields maps all keys of the line, including time and msg, to their values
	// without quotes.
	Fields map[string]string
	// Text is the line as it was read.
	Text string
}

// Read returns the lines that have a time and a message, and skips all others. It
// returns the lines before the error if reading fails or a line exceeds 1 MiB.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, errors.Wrap(err, "read log")
	}
	return lines, nil
}

// parse parses a line. It returns false if the line has no time or no message.
func parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	l := Line{
		Fields: map[string]string{},
		Text:   text,
	}
	for rest := text[at:]; rest != ""; {
		name, value, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, rest = cutValue(value)
		l.Fields[strings.TrimSpace(name)] = value
	}
	l.Message = l.Fields["msg"]
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, l.Fields["time"])
	return l, err == nil && l.Message != ""
}

// cutValue returns the value, quoted or plain, at the beginning of text, and the
// rest after it.
func cutValue(text string) (value, rest string) {
	if prefix, err := strconv.QuotedPrefix(text); err == nil {
		value, _ = strconv.Unquote(prefix)
		return value, strings.TrimLeft(text[len(prefix):], " ")
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// ForRequest returns the lines that concern the request with the given id, ordered
// by time. These are the lines with the request's id, and lines about its targets
// that carry no request's id. A line about a target is included from 12 s before to
// 1 s after the last line of the request that names the target.
func ForRequest(request string, lines []Line) []Line {
	lastMention := map[string]time.Time{}
	for _, l := range lines {
		if l.Fields["Request"] == request && l.Fields["Target"] != "" {
			lastMention[l.Fields["Target"]] = l.Time
		}
	}
	var found []Line
	for _, l := range lines {
		at, involved := lastMention[l.Fields["Target"]]
		aboutTarget := involved && l.Fields["Request"] == "" && !l.Time.After(at.Add(time.Second)) && at.Sub(l.Time) <= targetWindow
		if l.Fields["Request"] == request || aboutTarget {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}
