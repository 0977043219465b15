// Command harness plays one case of the review: it starts nodes as separate
// processes beside stand-ins of the store, the servers and the clients, and
// checks one rule. TROUBLE=0 plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is the time after which a run is given up.
const longestRun = 110 * time.Second

// scenario plays one case. The strings are the breaches of the rule.
type scenario func(f *fleet, trouble bool) (breaches []string, err error)

var scenarios = map[string]scenario{
	"drain-queue":    drainQueue,
	"restored-older": restoredOlder,
	"stop-queued":    stopQueued,
	"late-beat":      lateBeat,
	"turned-away":    turnedAway,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO NODE-PROGRAM FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		breaches []string
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		breaches, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
		done <- outcome{breaches, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.log("could not run: %v", o.err)
			fmt.Fprintln(os.Stderr, o.err)
			return exitNotRun
		}
		for _, b := range o.breaches {
			rec.log("BROKEN: %s", b)
			fmt.Println(b)
		}
		if len(o.breaches) > 0 {
			return exitBroken
		}
		rec.log("the rule held")
		return exitHeld
	case <-interrupted:
	case <-time.After(longestRun):
	}
	fmt.Fprintln(os.Stderr, "given up")
	return exitNotRun
}

// drainBound is drain_ms of the site.
const drainBound = 2 * time.Second

// configuration returns a configuration with the routes of the site.
// Requests of /peek/ go to peekService.
func configuration(version int, peekService string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"resources":[
{"resource_kind":"routes","metadata":{"name":"r-spend"},"spec":{"host":"wuny96.example","path_prefix":"/spend/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"indices","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"r-peek"},"spec":{"host":"wuny96.example","path_prefix":"/peek/","type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":%q,"max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"r-grid"},"spec":{"host":"wuny96.example","path_prefix":"/grid/","type":"idempotent","timeout_ms":10000,"target_latency_ms":2500,"priority":2,"service":"grilles","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"indices"},"spec":{"health_path":"/healthz","max_connections":330,"protocol":"h1","tls":false}},
{"resource_kind":"services","metadata":{"name":"grilles"},"spec":{"health_path":"/healthz","max_connections":330,"protocol":"h1","tls":false}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`, version, peekService)
}
