// Command standin2 plays the cases of the second review: it starts VM processes and
// stand-ins of databases and platform on loopback addresses, brings a disruption about, and
// checks a rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 115 * time.Second

// cases are the cases by name. Each returns the broken rules that it has seen.
var cases = map[string]func(rec *record, trouble bool) ([]string, error){
	"empty-replica":   emptyReplica,
	"expired-entry":   expiredEntry,
	"failed-reset":    failedReset,
	"frozen-neighbor": frozenNeighbor,
	"gone-entry":      goneEntry,
	"prepared-flood":  preparedFlood,
	"refused-setup":   refusedSetup,
	"start-again":     startAgain,
	"stopping-leader": stoppingLeader,
}

func main() {
	// Cases start processes on the main thread; see vm.start.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			fmt.Fprintln(os.Stderr, "could not run:", s)
		case <-time.After(caseTimeout):
			fmt.Fprintln(os.Stderr, "could not run: it took too long")
		}
		killRunning()
		os.Exit(2)
	}()
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	broken, err := cases[name](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	for _, b := range broken {
		rec.line("BROKEN %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("%s: broken %d times, first: %s\n", name, len(broken), broken[0])
		return 1
	}
	fmt.Printf("%s: held\n", name)
	return 0
}
