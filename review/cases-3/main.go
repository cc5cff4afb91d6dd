// Command cases-3 plays the scripted cases of the third review. It starts pollenvm processes
// with the command of the deploy file against stand-ins of the platform, the databases and the
// clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by their names.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case, whose record goes into a folder, and returns the exit code.
func run(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases-3:", err)
		return 2
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	f.note("case %s, trouble %t", name, trouble)
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		f.note("not played: %v", err)
		fmt.Println("not played:", err)
		return 2
	case broken:
		f.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	f.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
