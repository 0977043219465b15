// Command demo starts a small fleet on loopback, sends calls, stalls a target,
// kills a node, and prints what callers saw. It exits with 1 when an operation
// ran twice, when a statement "not run" was untrue, or when an answer was not
// the complete answer to its request.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/processtest"
	"siskinvale.dev/siskinvale/internal/standin"
)

const (
	bundleFile = "examples/magnolia.yaml"
	// callRate is the calls per second of the whole demo.
	callRate = 200
	// longEvery is how many calls there are for each long one.
	longEvery = 25
	// callTimeout is the callers' own timeout, above the expected run time of
	// the longest class.
	callTimeout = 8 * time.Second
	// retryPause is the pause of a caller before it tries another node.
	retryPause = 200 * time.Millisecond

	steadyFor = 5 * time.Second
	stallFor  = 6 * time.Second
	killFor   = 8 * time.Second
)

func main() { os.Exit(run()) }

func run() (code int) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	tb := &host{log: log}
	defer func() {
		if failure := recover(); failure != nil {
			if failure != errFatal {
				panic(failure)
			}
			code = 1
		}
	}()
	defer processtest.RemoveBinaries()
	defer tb.close()
	if err := demo(ctx, tb, log); err != nil {
		log.WithError(err).Error("demo failed")
		return 1
	}
	log.Info("demo passed: no duplicate, no untrue not-run, no wrong answer")
	return 0
}

// phase is one part of the demo with its own figures.
type phase struct {
	name   string
	took   time.Duration
	before func() error
	report *load.Report
}

func demo(ctx context.Context, tb *host, log *logrus.Logger) error {
	log.Info("building the commands; starting platform, targets and nodes of two data centres")
	f := processtest.Start(tb, processtest.Config{DataCentres: 2, NodesPerDataCentre: 2, Bundle: bundleFile})
	log.WithFields(logrus.Fields{"nodes": len(f.Nodes), "targets": len(f.Targets), "bundle": bundleFile}).
		Info("fleet serves; the bundle was checked, signed, approved and rolled out")
	stalled, killed := f.Targets[0], f.Nodes[len(f.Nodes)-1]
	phases := []*phase{
		{name: "steady", took: steadyFor},
		{name: "target stalled", took: stallFor, before: func() error {
			log.WithField("target", stalled.ID).Info("stalling a target")
			return stalled.SetFaults(standin.TargetFaults{StallFraction: 1})
		}},
		{name: "node killed", took: killFor, before: func() error {
			log.WithField("node", killed.ID).Info("ending the stall and killing a node")
			err := stalled.SetFaults(standin.TargetFaults{})
			killed.Kill()
			return err
		}},
	}
	caller := load.NewCaller("counter-app", callTimeout)
	defer caller.Close()
	wrong := &wrongAnswers{}
	for _, p := range phases {
		if p.before != nil {
			if err := p.before(); err != nil {
				return err
			}
		}
		log.WithFields(logrus.Fields{"phase": p.name, "for": p.took, "callsPerSecond": callRate}).Info("sending calls")
		p.report = load.Open(ctx, callRate, p.took, sender(f, caller, wrong))
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
	}
	log.Info("comparing the targets' operation logs with what callers were told")
	ops, complete, err := f.OperationLogs()
	if err != nil {
		return err
	}
	findings := load.Check(caller.History(), ops, !complete)
	printTable(phases)
	return verdict(findings, wrong, len(caller.History()), len(ops))
}

// sender spreads the calls over the classes of the bundle and over the nodes.
// A call that is not answered is sent again through the other nodes.
func sender(f *processtest.Fleet, caller *load.Caller, wrong *wrongAnswers) load.Call {
	var short, long []processtest.Kind
	for _, kind := range f.Kinds {
		if kind.Long {
			long = append(long, kind)
		} else {
			short = append(short, kind)
		}
	}
	return func(_ context.Context, n int) load.Sample {
		kind := short[n%len(short)]
		if n%longEvery == longEvery-1 && len(long) > 0 {
			kind = long[n/longEvery%len(long)]
		}
		// Interrupting the demo lets calls in flight end.
		told := caller.Do(context.Background(), kind.Request(n), retryPause, f.URLs(n/len(short))...)
		wrong.inspect(told)
		return told.Sample()
	}
}

// wrongAnswers collects answers that are not the complete answer to their
// request.
type wrongAnswers struct {
	mu   sync.Mutex
	list []string
}

func (w *wrongAnswers) inspect(told load.Told) {
	for _, a := range told.Attempts {
		if errors.Is(a.Err, standin.ErrWrongBody) {
			w.mu.Lock()
			w.list = append(w.list, a.Err.Error())
			w.mu.Unlock()
		}
	}
}

func printTable(phases []*phase) {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("phase", "class", "calls", "answered", "not-run", "unknown", "errors", "p50", "p99")
	for _, p := range phases {
		for _, k := range p.report.Kinds() {
			_ = table.Append(p.name, k.Name, k.Calls, k.Answered, k.NotRun, k.Unknown, k.Errors,
				milliseconds(k.Percentile(50)), milliseconds(k.Percentile(99)))
		}
	}
	_ = table.Render()
	for _, p := range phases {
		for _, k := range p.report.Kinds() {
			if k.FirstError != nil {
				fmt.Printf("first error of %s in phase %q: %v\n", k.Name, p.name, k.FirstError)
			}
		}
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}

func verdict(f load.Findings, wrong *wrongAnswers, keyed, operations int) error {
	fmt.Printf("keyed operations: %d; log entries at the targets: %d\n", keyed, operations)
	fmt.Printf("duplicates: %d; untrue not-run: %d; answered but never run: %d; wrong answers: %d\n",
		len(f.Duplicates), len(f.UntrueNotRun), len(f.NeverRun), len(wrong.list))
	const shown = 5
	for _, list := range [][]string{f.Duplicates, f.UntrueNotRun, f.NeverRun, wrong.list} {
		for _, line := range list[:min(shown, len(list))] {
			fmt.Println("  ", line)
		}
	}
	if !f.Empty() || len(wrong.list) > 0 {
		return errors.New("callers were told something untrue, or an operation ran twice")
	}
	return nil
}
