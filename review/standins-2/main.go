// Command standins-2 plays the scripted cases of the second review: it starts
// nodes as processes on loopback addresses and stands in for the store, the
// servers and the clients around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripted cases by name. trouble is false for a play without the
// disruption.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){}

// longest is the longest time that a case may take.
const longest = 115 * time.Second

func main() {
	// Node processes end with the thread that started them.
	runtime.LockOSThread()
	time.AfterFunc(longest, func() {
		fmt.Println("not run: the case takes too long")
		os.Exit(exitNotRun)
	})
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		return exitNotRun
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	v, err := f(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.event("not-run", "error", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.event("verdict", "broken", v.broken, "text", fmt.Sprintf("%q", v.text))
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
