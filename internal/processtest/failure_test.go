package processtest_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/processtest"
	"siskinvale.dev/siskinvale/internal/standin"
)

const (
	bundleFile = "examples/magnolia.yaml"
	// callRate is the calls per second in the background of each failure.
	callRate = 60
	// retryPause is the pause of a caller before it tries another node.
	retryPause = 200 * time.Millisecond
	// recovery bounds how long keyed operations may stay unavailable after a
	// fault: 3 s promise of the standby, its margin, and one retry.
	recovery = 8 * time.Second
)

// startFleet skips the test when the repository lacks a command it needs.
func startFleet(cfg processtest.Config) *processtest.Fleet {
	for _, binary := range []string{processtest.NodeBinary, processtest.ControlBinary} {
		if !processtest.Exists(binary) {
			Skip("cmd/" + binary + " does not exist")
		}
	}
	cfg.Bundle = bundleFile
	return processtest.Start(GinkgoT(), cfg)
}

// traffic sends keyed operations and idempotent lookups through all nodes in
// turn, each retried with the same key through the other nodes.
type traffic struct {
	fleet  *processtest.Fleet
	caller *load.Caller
	cancel context.CancelFunc
	done   sync.WaitGroup
	report *load.Report
	mu     sync.Mutex
	wrong  []string
}

func startTraffic(f *processtest.Fleet) *traffic {
	var mix []processtest.Kind
	for _, kind := range f.Kinds {
		if !kind.Long {
			mix = append(mix, kind)
		}
	}
	Expect(mix).To(ContainElement(HaveField("Keyed", true)))
	Expect(mix).To(ContainElement(HaveField("Keyed", false)))
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{fleet: f, caller: load.NewCaller("counter-app", 2*time.Second), cancel: cancel}
	DeferCleanup(func() { t.stop() })
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		t.report = load.Open(ctx, callRate, time.Hour, func(_ context.Context, n int) load.Sample {
			history := t.caller.Do(context.Background(), mix[n%len(mix)].Request(n), retryPause, f.URLs(n/len(mix))...)
			t.inspect(history)
			return history.Sample()
		})
	}()
	return t
}

// inspect looks for answers that are complete but not the answer to the
// caller's request.
func (t *traffic) inspect(history load.History) {
	for _, a := range history.Attempts {
		if errors.Is(a.Err, standin.ErrWrongBody) || errors.Is(a.Err, load.ErrNoOutcome) {
			t.mu.Lock()
			t.wrong = append(t.wrong, a.Err.Error())
			t.mu.Unlock()
		}
	}
}

func (t *traffic) stop() {
	t.cancel()
	t.done.Wait()
	t.caller.Close()
}

// recovers waits until fresh keyed operations are answered through every
// running node again.
func (t *traffic) recovers() {
	GinkgoHelper()
	kind, ok := t.fleet.Kind(func(k processtest.Kind) bool { return k.Keyed && !k.Long })
	Expect(ok).To(BeTrue())
	Eventually(func(g Gomega) {
		for _, n := range t.fleet.Nodes {
			if !n.Running() {
				continue
			}
			for i := range 10 {
				history := t.caller.Do(context.Background(), kind.Request(i), 0, n.URL)
				t.inspect(history)
				last := history.Last()
				g.Expect(last.Err).NotTo(HaveOccurred())
				g.Expect(last.Outcome).To(Equal(fleet.Answered), "through %s", n.ID)
				g.Expect(last.Status).To(Equal(200))
			}
		}
	}).WithTimeout(recovery).WithPolling(100 * time.Millisecond).Should(Succeed())
}

// check ends the traffic and compares the responses that callers received with
// the operations that ran.
func (t *traffic) check() {
	GinkgoHelper()
	t.stop()
	ops, complete, err := t.fleet.OperationLogs()
	Expect(err).NotTo(HaveOccurred())
	findings := load.Check(t.caller.History(), ops, !complete)
	for _, k := range t.report.Kinds() {
		fmt.Fprintf(GinkgoWriter, "%s: %d calls, %d answered, %d not-run, %d unknown, %d errors (%v), p99 %v\n",
			k.Name, k.Calls, k.Answered, k.NotRun, k.Unknown, k.Errors, k.FirstError, k.Percentile(99))
	}
	Expect(findings.Duplicates).To(BeEmpty(), "operations run more than once")
	Expect(findings.FalseNotRun).To(BeEmpty(), "operations run although told not-run")
	Expect(findings.NeverRun).To(BeEmpty(), "operations answered but not run")
	Expect(t.wrong).To(BeEmpty(), "answers that are not the complete answer to their request")
	for _, k := range t.report.Kinds() {
		Expect(k.Answered).To(BeNumerically(">", k.Calls/2), "%s: %d of %d calls answered", k.Name, k.Answered, k.Calls)
	}
	Expect(len(t.caller.History())).To(BeNumerically(">", 20))
}

var _ = Describe("Failures of real processes", func() {
	twoByTwo := processtest.Config{DataCentres: 2, NodesPerDataCentre: 2}

	// Guards against operations that run twice or are reported as not run
	// when their owner is lost.
	It("kills a node", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(2 * time.Second)
		f.Nodes[0].Kill()
		calls.recovers()
		calls.check()
	})

	// Guards against an owner that dispatches work after its lease expired
	// while it was paused.
	It("pauses a node for longer than a lease and lets it continue", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(2 * time.Second)
		Expect(f.Nodes[1].Pause()).To(Succeed())
		time.Sleep(4500 * time.Millisecond)
		Expect(f.Nodes[1].Continue()).To(Succeed())
		calls.recovers()
		calls.check()
	})

	// Guards against a target whose connections went silent or that is cut
	// off one way being treated as proof that work did not run.
	It("freezes and cuts the paths to a target", func() {
		cfg := twoByTwo
		cfg.TargetLinks = true
		f := startFleet(cfg)
		calls := startTraffic(f)
		time.Sleep(time.Second)
		both := standin.Direction{Freeze: true}
		Expect(f.Targets[0].Link.SetFaults(standin.LinkFaults{Forward: both, Backward: both})).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(f.Targets[0].Link.SetFaults(standin.LinkFaults{Backward: standin.Direction{Drop: 1}})).To(Succeed())
		time.Sleep(3 * time.Second)
		Expect(f.Targets[0].Link.SetFaults(standin.LinkFaults{})).To(Succeed())
		calls.recovers()
		calls.check()
	})

	// Guards against a stalled target that keeps its operations, although it
	// looks healthy.
	It("stalls and cuts answers at one target", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(time.Second)
		Expect(f.Targets[0].SetFaults(standin.TargetFaults{CutFraction: 0.5})).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(f.Targets[0].SetFaults(standin.TargetFaults{StallFraction: 1})).To(Succeed())
		calls.recovers()
		calls.check()
	})

	// Guards against planned stops that cut requests in flight, at the node
	// that stops or at others that use its targets.
	It("stops a node with long work in flight", func() {
		f := startFleet(twoByTwo)
		long, ok := f.Kind(func(k processtest.Kind) bool { return k.Long && !k.Keyed })
		Expect(ok).To(BeTrue(), "the bundle has a class of long idempotent work")
		for _, t := range f.Targets {
			Expect(t.SetFaults(standin.TargetFaults{SlowFactor: 10})).To(Succeed())
		}
		caller := load.NewCaller("magnolia", 0)
		defer caller.Close()
		const inFlight = 6
		results := make(chan load.Attempt, inFlight)
		for i := range inFlight {
			go func() { results <- caller.Do(context.Background(), long.Request(i), 0, f.Nodes[i%2].URL).Last() }()
		}
		Eventually(func() (started int64) {
			for _, t := range f.Targets {
				calls, err := t.Calls()
				Expect(err).NotTo(HaveOccurred())
				started += calls.InFlight
			}
			return started
		}).WithTimeout(5 * time.Second).Should(BeNumerically(">=", inFlight/2))
		Expect(f.Nodes[0].Signal(syscall.SIGTERM)).To(Succeed())
		for range inFlight {
			var a load.Attempt
			Eventually(results).WithTimeout(15 * time.Second).Should(Receive(&a))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Outcome).To(Equal(fleet.Answered), "through %s, status %d", a.Node, a.Status)
			Expect(a.Status).To(Equal(200))
		}
		Expect(f.Nodes[0].Wait(15*time.Second)).To(Succeed(), "exit code of the stopped node")
	})

	// Guards against a graceful stop that loses keyed operations or runs them
	// twice while their ranges are handed over.
	It("stops and restarts a node under traffic", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(time.Second)
		Expect(f.Nodes[2].Stop()).To(Succeed())
		Expect(f.Restart(f.Nodes[2])).To(Succeed())
		calls.recovers()
		calls.check()
	})

	// Guards against rollouts that are lost or doubled when the platform loses
	// answers, and against calls that depend on the platform.
	It("rolls out while the platform is down, slow or loses answers", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		inForce := func(version uint64) {
			GinkgoHelper()
			Eventually(f.InForce).WithTimeout(5 * time.Second).WithPolling(50 * time.Millisecond).Should(HaveEach(version))
		}
		inForce(1)
		Expect(f.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 0.5})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 2)).To(Succeed(), "while answers are lost")
		inForce(2)
		Expect(f.Platform.SetFaults(standin.PlatformFaults{Delay: standin.Duration(400 * time.Millisecond)})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 3)).To(Succeed(), "while the platform is slow")
		inForce(3)
		Expect(f.Platform.SetFaults(standin.PlatformFaults{Down: true})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 4)).NotTo(Succeed(), "while the platform is down")
		time.Sleep(time.Second)
		Expect(f.InForce()).To(HaveEach(uint64(3)))
		Expect(f.Platform.SetFaults(standin.PlatformFaults{StaleReads: standin.Duration(3 * time.Second)})).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		Expect(f.InForce()).To(HaveEach(uint64(3)), "a stale read restores no older version")
		Expect(f.Platform.SetFaults(standin.PlatformFaults{})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 4)).To(Succeed(), "after the platform is back")
		inForce(4)
		calls.recovers()
		calls.check()
	})
})
