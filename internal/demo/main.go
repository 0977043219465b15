// Command demo starts a small fleet on loopback, sends calls, stalls a target,
// kills a node, and prints the outcomes that callers saw. It exits with 1 when
// an operation ran twice, when a request that was answered "not run" had run,
// or when an answer was not the complete answer to its request.
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
	// callsPerSecond is the call rate over all classes.
	callsPerSecond = 200
	// longCallInterval is the number of calls of which one is of a long class.
	longCallInterval = 25
	// callTimeout is the callers' own timeout. It is above the expected run
	// time of the longest class.
	callTimeout = 8 * time.Second
	// retryPause is the time that a caller waits before it retries through
	// another node.
	retryPause = 200 * time.Millisecond

	// Durations of the phases.
	steadyDuration = 5 * time.Second
	stallDuration  = 6 * time.Second
	killDuration   = 8 * time.Second
)

func main() { os.Exit(run()) }

func run() (code int) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	tb := &demoTB{log: log}
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != errFatal {
				panic(recovered)
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
	log.Info("demo passed: no operation ran twice, no request reported as not-run had run, no wrong answer")
	return 0
}

// phase is a part of the demo that is reported separately. prepare, if set,
// runs before its calls are sent.
type phase struct {
	name     string
	duration time.Duration
	prepare  func() error
	report   *load.Report
}

func demo(ctx context.Context, tb *demoTB, log *logrus.Logger) error {
	log.Info("building the commands; starting platform, targets and nodes of two data centres")
	f := processtest.Start(tb, processtest.Config{DataCentres: 2, NodesPerDataCentre: 2, Bundle: bundleFile})
	log.WithFields(logrus.Fields{"nodes": len(f.Nodes), "targets": len(f.Targets), "bundle": bundleFile}).
		Info("fleet is serving; the bundle was checked, signed, approved and rolled out")
	stalled, killed := f.Targets[0], f.Nodes[len(f.Nodes)-1]
	phases := []*phase{
		{name: "steady", duration: steadyDuration},
		{name: "target stalled", duration: stallDuration, prepare: func() error {
			log.WithField("target", stalled.ID).Info("stalling a target")
			return stalled.SetFaults(standin.TargetFaults{StallFraction: 1})
		}},
		{name: "node killed", duration: killDuration, prepare: func() error {
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
		if p.prepare != nil {
			if err := p.prepare(); err != nil {
				return err
			}
		}
		log.WithFields(logrus.Fields{"phase": p.name, "for": p.duration, "callsPerSecond": callsPerSecond}).Info("sending calls")
		p.report = load.Open(ctx, callsPerSecond, p.duration, newCall(f, caller, wrong))
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
	}
	log.Info("comparing the targets' operation logs with the answers to callers")
	ops, complete, err := f.OperationLogs()
	if err != nil {
		return err
	}
	findings := load.Check(caller.History(), ops, !complete)
	printTable(phases)
	return reportFindings(findings, wrong, len(caller.History()), len(ops))
}

// newCall returns a load.Call that spreads calls over the classes of the bundle
// and over the nodes. A call without an answer is retried through the other
// nodes.
func newCall(f *processtest.Fleet, caller *load.Caller, wrong *wrongAnswers) load.Call {
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
		if n%longCallInterval == longCallInterval-1 && len(long) > 0 {
			kind = long[n/longCallInterval%len(long)]
		}
		// The background context lets calls in flight end when the demo is
		// interrupted.
		result := caller.Do(context.Background(), kind.Request(n), retryPause, f.NodeURLsFrom(n/len(short))...)
		wrong.record(result)
		return result.Sample()
	}
}

// wrongAnswers collects answers that are not the complete answer to their
// request.
type wrongAnswers struct {
	mu   sync.Mutex
	list []string
}

func (w *wrongAnswers) record(result load.History) {
	for _, a := range result.Attempts {
		if errors.Is(a.Err, standin.ErrWrongBody) {
			w.mu.Lock()
			w.list = append(w.list, a.Err.Error())
			w.mu.Unlock()
		}
	}
}

// printTable prints the outcomes and latencies of each phase and class.
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

// reportFindings prints the findings and returns an error if there are any.
func reportFindings(f load.Findings, wrong *wrongAnswers, keyed, operations int) error {
	fmt.Printf("keyed operations: %d; log entries at the targets: %d\n", keyed, operations)
	fmt.Printf("duplicates: %d; untrue not-run: %d; answered but never run: %d; wrong answers: %d\n",
		len(f.Duplicates), len(f.FalseNotRun), len(f.NeverRun), len(wrong.list))
	const maxLines = 5
	for _, list := range [][]string{f.Duplicates, f.FalseNotRun, f.NeverRun, wrong.list} {
		for _, line := range list[:min(maxLines, len(list))] {
			fmt.Println("  ", line)
		}
	}
	if !f.Empty() || len(wrong.list) > 0 {
		return errors.New("an operation ran twice, or an answer contradicts the operation logs or is not the complete answer to its request")
	}
	return nil
}
