//go:build review

// Command harness plays the cases of the review: a small deployment of the program
// against stand-ins of clients, databases and the platform, on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is the longest time of a case.
const limit = 115 * time.Second

// cases maps the name of a case to its function, which reports whether the rule held.
// An error means that the case could not run.
var cases = map[string]func(r *record, trouble bool) (bool, error){
	"sync":  syncReplicas,
	"stop":  plannedStop,
	"flip":  routeFlip,
	"drain": drainingReplica,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(notRun)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	go launcher()
	code := make(chan int, 1)
	go func() {
		ok, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			r.say("not run: %v", err)
			code <- notRun
		case !ok:
			r.say("the rule was broken")
			code <- broken
		default:
			r.say("the rule held")
			code <- held
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := notRun
	select {
	case result = <-code:
	case <-signals:
		r.say("not run: stopped by a signal")
	case <-time.After(limit):
		r.say("not run: longer than %v", limit)
	}
	endAll()
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(result)
}
