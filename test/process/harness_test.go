// Package process_test runs the built programs as separate processes on
// loopback and breaks them.
package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/programs"
)

// patience bounds waits for what must happen.
const patience = 30 * time.Second

// fleetsAtOnce bounds the fleets that tests run side by side.
const fleetsAtOnce = 3

// fleets holds a value for each fleet that runs.
var fleets = make(chan struct{}, fleetsAtOnce)

// programsFolder is where TestMain put the built programs.
var programsFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "dandelionmux-process-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := programs.Build("../..", folder); err != nil {
		panic(err)
	}
	programsFolder = folder
	return m.Run()
}

// process is a started program.
type process struct {
	name    string
	command *exec.Cmd
	output  *lockedBuffer
	ended   chan error
}

// lockedBuffer collects a running program's log.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String is all that was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start runs a program and decodes the line that it prints when it is ready.
func start(t *testing.T, ready any, name string, arguments ...string) *process {
	t.Helper()
	is := is.New(t)
	p := &process{
		name:    name,
		command: exec.Command(filepath.Join(programsFolder, name), arguments...),
		output:  &lockedBuffer{},
		ended:   make(chan error, 1),
	}
	p.command.Stderr = p.output
	stdout, err := p.command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.command.Start())
	t.Cleanup(func() { p.finish(t) })
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, stdout)
		p.ended <- p.command.Wait()
	}()
	if err != nil {
		t.Fatalf("%s did not start: %v\n%s", name, err, p.tail())
	}
	is.NoErr(json.Unmarshal(line, ready))
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	is.New(t).NoErr(p.command.Process.Signal(s))
}

// wait waits for the process's end.
func (p *process) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		return err
	case <-time.After(patience):
		t.Fatalf("%s did not end\n%s", p.name, p.tail())
		return nil
	}
}

// finish ends the process if it still runs.
func (p *process) finish(t *testing.T) {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.ended
	if t.Failed() {
		t.Logf("%s said:\n%s", p.name, p.tail())
	}
}

// tail is the end of what the process logged, of requests and of the rest.
func (p *process) tail() string {
	const kept = 4000
	var requests, rest strings.Builder
	for line := range strings.Lines(p.output.String()) {
		if strings.Contains(line, " Request=") {
			requests.WriteString(line)
		} else {
			rest.WriteString(line)
		}
	}
	return end(requests.String(), kept) + end(rest.String(), kept)
}

func end(text string, length int) string {
	return text[max(0, len(text)-length):]
}

// run runs a program to its end and returns what it printed.
func run(t *testing.T, name string, arguments ...string) (string, error) {
	t.Helper()
	command := exec.Command(filepath.Join(programsFolder, name), arguments...)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	err := command.Run()
	if err != nil {
		t.Logf("%s %s: %v\n%s", name, strings.Join(arguments, " "), err, stderr.String())
	}
	return stdout.String(), err
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(patience)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatalf("never came true: %s", what)
		}
	}
}

// fetch gets a URL and returns the status and body.
func fetch(url string) (int, string) {
	r, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	body, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(body)
}
