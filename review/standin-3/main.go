// Standin-3 plays the cases of the review's third report: it starts the project's instances as
// separate processes, stands in for the platform's store, servers and requesters, and checks a
// rule of the users by what these have seen.
//
// # Usage
//
//	standin-3 CASE PROGRAM RECORD
//
// PROGRAM is the fleet's program and RECORD the file for what was sent, answered and run. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0
// in the environment the case runs without its disturbance.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by the number of their folder.
var cases = map[string]func(l *lab) bool{
	"11": quotaAtHandover,
	"12": secondTerm,
	"13": pipelinedAnswers,
}

// errNotRun ends the program because the case can't run.
type errNotRun string

// cannotRun ends the case, which can't run for the reason.
func cannotRun(reason string) { panic(errNotRun(reason)) }

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(run func(l *lab) bool, program, record string) (code int) {
	l, err := newLab(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	go l.endEarly()
	defer func() {
		if cause, ok := recover().(errNotRun); ok {
			l.note("the case could not run: %s", string(cause))
			code = exitNotRun
		}
	}()
	if run(l) {
		l.note("the rule was broken")
		return exitBroken
	}
	l.note("the rule held")
	return exitHeld
}
