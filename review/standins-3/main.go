// Command review-3 plays the cases of the third review against processes of the
// project's node. It exits with 1 if a rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each file of a case adds its own. A case returns
// the breaks that it saw.
var cases = map[string]func(f *fleet, trouble bool) (breaks []string, err error){}

// longest is how long a case may run.
const longest = 110 * time.Second

// stopEarly ends the case and its processes when it is interrupted or takes too
// long.
func stopEarly(f *fleet) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(longest):
	}
	f.stop()
	os.Exit(exitNotRun)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	go stopEarly(f)
	breaks, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	for i, b := range breaks {
		rec.log("BROKEN: %s", b)
		if i < 10 {
			fmt.Println("broken:", b)
		}
	}
	rec.log("%d breaks", len(breaks))
	fmt.Println(len(breaks), "breaks")
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
