// Package process_test builds the programs, runs them as separate processes on
// loopback, and injects faults: it kills and freezes instances and makes the
// store and the targets fail.
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

// eventTimeout bounds the wait for an event that must happen.
const eventTimeout = 30 * time.Second

// maxConcurrentFleets is how many tests run a fleet at the same time.
const maxConcurrentFleets = 3

// fleetSlots is a semaphore that holds one value for each running fleet.
var fleetSlots = make(chan struct{}, maxConcurrentFleets)

// programsFolder is the folder of the programs that TestMain built.
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
	ended   chan error // the result of Wait; stays in the channel once read
}

// lockedBuffer is a buffer for a program's log that is safe for concurrent use.
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

// String returns everything written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start starts a program and decodes into ready the JSON line that it prints
// once it is ready. The process is killed when the test ends.
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
	t.Cleanup(func() { p.kill(t) })
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

// wait waits until the process has exited and returns the error of its Wait.
func (p *process) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		return err
	case <-time.After(eventTimeout):
		t.Fatalf("%s did not end\n%s", p.name, p.tail())
		return nil
	}
}

// kill kills the process if it still runs, also when it is frozen. If the test
// failed, it prints the end of the process's log.
func (p *process) kill(t *testing.T) {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.ended
	if t.Failed() {
		t.Logf("log of %s:\n%s", p.name, p.tail())
	}
}

// tail returns the end of the process's log: the last lines about requests, and
// the last other lines.
func (p *process) tail() string {
	const maxBytes = 4000
	var requests, rest strings.Builder
	for line := range strings.Lines(p.output.String()) {
		if strings.Contains(line, " Request=") {
			requests.WriteString(line)
		} else {
			rest.WriteString(line)
		}
	}
	return suffix(requests.String(), maxBytes) + suffix(rest.String(), maxBytes)
}

// suffix returns the last length bytes of a text.
func suffix(text string, length int) string {
	return text[max(0, len(text)-length):]
}

// run runs a program until it exits and returns its standard output.
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

// eventually waits until the condition holds, and fails the test if it doesn't
// within eventTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(eventTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatalf("condition did not become true: %s", what)
		}
	}
}

// fetch gets a URL and returns the status and body. If the request fails, the
// status is 0 and the body is the error.
func fetch(url string) (int, string) {
	r, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	body, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(body)
}
