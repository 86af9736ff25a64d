// Command standin plays the cases of the review: it starts instances of dandelionmux with
// the command of the deploy file, and stands in for the platform's store, the servers, the
// requesters and the operator around them.
//
// # Usage
//
//	TROUBLE=1 standin -case quota -record review/1/record.txt
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
// With TROUBLE=0 it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 115 * time.Second

// play is a case. It reports whether the rule held.
type play func(l *lab, trouble bool) (held bool, err error)

func plays() map[string]play {
	return map[string]play{
		"quota":  playQuota,
		"upload": playUpload,
		"prefix": playPrefix,
		"drill":  playDrill,
		"freeze": playFreeze,
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	program := flag.String("program", "target/dandelionmux", "the program of the deploy file")
	flag.Parse()
	p, ok := plays()[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	l, err := newLab(*recordPath, *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		fmt.Fprintln(os.Stderr, "the case was ended")
		l.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	l.notef("case %s, trouble %v", *name, trouble)
	held, err := p(l, trouble)
	switch {
	case err != nil:
		l.notef("not run: %s", err)
		return exitNotRun
	case held:
		l.notef("the rule held")
		return exitHeld
	default:
		l.notef("the rule was broken")
		return exitBroken
	}
}
