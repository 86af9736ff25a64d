// Package story tells what became of one request, from the log lines of many
// instances.
//
// Lines are key=value pairs as the instances write them, each with a time.
// Lines that don't begin with the time, such as those that a collector has
// prefixed, are read from where "time=" stands.
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

// targetWindow is how long targetWindow a request was placed what was seen of its target is
// still part of its story: as long as a target is on probation.
const targetWindow = 12 * time.Second

// maxLineBytes bounds a line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Message is what happened.
	Message string
	Fields  map[string]string
	// Text is the line as it was written.
	Text string
}

// Read reads all lines that have a time and a message.
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

// parse splits a line into its pairs.
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

// cutValue takes one value, quoted or plain, off a text.
func cutValue(text string) (value, rest string) {
	if prefix, err := strconv.QuotedPrefix(text); err == nil {
		value, _ = strconv.Unquote(prefix)
		return value, strings.TrimLeft(text[len(prefix):], " ")
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// ForRequest returns the lines about one request in the order of their times: those that
// name it, and what was seen of its targets shortly before it was placed there.
func ForRequest(request string, lines []Line) []Line {
	placed := map[string]time.Time{}
	for _, l := range lines {
		if l.Fields["Request"] == request && l.Fields["Target"] != "" {
			placed[l.Fields["Target"]] = l.Time
		}
	}
	var story []Line
	for _, l := range lines {
		at, involved := placed[l.Fields["Target"]]
		near := involved && l.Fields["Request"] == "" && !l.Time.After(at.Add(time.Second)) && at.Sub(l.Time) <= targetWindow
		if l.Fields["Request"] == request || near {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}
