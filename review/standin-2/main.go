// Standin-2 plays the platform, the servers and the requesters of the cases of the second review.
// It starts the system's processes with the command of the deploy file, on loopback addresses.
//
// # Usage
//
//	standin-2 CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 1 if the case's rule
// was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment it
// leaves out the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// cases holds the cases by name. Each returns how its rule was broken, or nothing.
var cases = map[string]func(*run) (broken string, err error){
	"descriptors": descriptors,
}

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannotDo = 2
)

func main() { os.Exit(play()) }

// play plays a case and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitCannotDo
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotDo
	}
	defer r.end()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotDo
	case broken != "":
		r.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("held")
	return exitHeld
}

// run is one run of a case.
type run struct {
	// trouble is set unless the disruption is left out.
	trouble bool
	// folder is a temporary folder for settings and logs.
	folder string
	began  time.Time

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

// newRun opens the record of a run.
func newRun(record string) (*run, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &run{
		trouble: os.Getenv("TROUBLE") != "0",
		folder:  folder,
		began:   time.Now(),
		file:    file,
		record:  bufio.NewWriter(file),
	}, nil
}

// note writes a line to the record.
func (r *run) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// end closes the record and removes the folder.
func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.folder)
}
