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
	// callsPerSecond is the call rate of the background traffic.
	callsPerSecond = 60
	// retryPause is the time that a caller waits before it retries through
	// another node.
	retryPause = 200 * time.Millisecond
	// recoveryTimeout is the maximum time for which keyed operations may stay
	// unavailable after a fault. It covers the 3 s for which a standby promises
	// not to take over, the margin that the standby adds, and one retry.
	recoveryTimeout = 8 * time.Second
)

// startFleet starts a fleet with the bundle bundleFile. It skips the test when
// the repository lacks a command that the fleet needs.
func startFleet(cfg processtest.Config) *processtest.Fleet {
	for _, binary := range []string{processtest.NodeBinary, processtest.ControlBinary} {
		if !processtest.CommandExists(binary) {
			Skip("cmd/" + binary + " does not exist")
		}
	}
	cfg.Bundle = bundleFile
	return processtest.Start(GinkgoT(), cfg)
}

// traffic sends short requests of all kinds, keyed and idempotent, through all
// nodes in turn. Each call is retried with the same key through the other
// nodes.
type traffic struct {
	fleet        *processtest.Fleet
	caller       *load.Caller
	cancel       context.CancelFunc
	done         sync.WaitGroup
	report       *load.Report
	mu           sync.Mutex
	wrongAnswers []string
}

// startTraffic sends calls in the background until the test ends or check is
// called.
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
		t.report = load.Open(ctx, callsPerSecond, time.Hour, func(_ context.Context, n int) load.Sample {
			call := t.caller.Do(context.Background(), mix[n%len(mix)].Request(n), retryPause, f.NodeURLsFrom(n/len(mix))...)
			t.inspect(call)
			return call.Sample()
		})
	}()
	return t
}

// inspect records answers that arrived without an error but are not the
// complete answer to their request, and answers without an outcome.
func (t *traffic) inspect(call load.History) {
	for _, a := range call.Attempts {
		if errors.Is(a.Err, standin.ErrWrongBody) || errors.Is(a.Err, load.ErrNoOutcome) {
			t.mu.Lock()
			t.wrongAnswers = append(t.wrongAnswers, a.Err.Error())
			t.mu.Unlock()
		}
	}
}

func (t *traffic) stop() {
	t.cancel()
	t.done.Wait()
	t.caller.Close()
}

// expectRecovery waits until operations with new keys are answered through
// every running node again. It fails after recoveryTimeout.
func (t *traffic) expectRecovery() {
	GinkgoHelper()
	kind, ok := t.fleet.FindKind(func(k processtest.Kind) bool { return k.Keyed && !k.Long })
	Expect(ok).To(BeTrue())
	Eventually(func(g Gomega) {
		for _, n := range t.fleet.Nodes {
			if !n.Running() {
				continue
			}
			for i := range 10 {
				call := t.caller.Do(context.Background(), kind.Request(i), 0, n.URL)
				t.inspect(call)
				last := call.Last()
				g.Expect(last.Err).NotTo(HaveOccurred())
				g.Expect(last.Outcome).To(Equal(fleet.Answered), "through %s", n.ID)
				g.Expect(last.Status).To(Equal(200))
			}
		}
	}).WithTimeout(recoveryTimeout).WithPolling(100 * time.Millisecond).Should(Succeed())
}

// check stops the traffic and compares the outcomes that callers received with
// the operation logs of the targets.
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
	Expect(findings.Duplicates).To(BeEmpty(), "operations that ran more than once")
	Expect(findings.FalseNotRun).To(BeEmpty(), "operations that ran although the caller received not-run")
	Expect(findings.NeverRun).To(BeEmpty(), "operations that were answered but did not run")
	Expect(t.wrongAnswers).To(BeEmpty(), "answers that are not the complete answer to their request or have no outcome")
	for _, k := range t.report.Kinds() {
		Expect(k.Answered).To(BeNumerically(">", k.Calls/2), "%s: %d of %d calls answered", k.Name, k.Answered, k.Calls)
	}
	Expect(len(t.caller.History())).To(BeNumerically(">", 20))
}

var _ = Describe("Failures of real processes", func() {
	twoByTwo := processtest.Config{DataCentres: 2, NodesPerDataCentre: 2}

	// Guards against operations that run twice, or that run but are reported
	// as not-run, when the node that owns their keys is killed.
	It("loses and repeats no keyed operation when a node is killed", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(2 * time.Second)
		f.Nodes[0].Kill()
		calls.expectRecovery()
		calls.check()
	})

	// Guards against an owner that dispatches requests after its lease expired
	// while the owner was paused.
	It("dispatches nothing under a lease that expired while the node was paused", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(2 * time.Second)
		Expect(f.Nodes[1].Pause()).To(Succeed())
		time.Sleep(4500 * time.Millisecond)
		Expect(f.Nodes[1].Continue()).To(Succeed())
		calls.expectRecovery()
		calls.check()
	})

	// Guards against nodes that report requests as not-run, although they ran,
	// because the connections to their target are silent or lose all data in
	// one direction.
	It("does not report work as not-run because the path to a target is frozen or one-way", func() {
		cfg := twoByTwo
		cfg.TargetLinks = true
		f := startFleet(cfg)
		calls := startTraffic(f)
		time.Sleep(time.Second)
		both := standin.DirectionFaults{Freeze: true}
		Expect(f.Targets[0].Link.SetFaults(standin.LinkFaults{Forward: both, Backward: both})).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(f.Targets[0].Link.SetFaults(standin.LinkFaults{Backward: standin.DirectionFaults{Drop: 1}})).To(Succeed())
		time.Sleep(3 * time.Second)
		Expect(f.Targets[0].Link.SetFaults(standin.LinkFaults{})).To(Succeed())
		calls.expectRecovery()
		calls.check()
	})

	// Guards against operations that stay with a stalled target because its
	// health check succeeds.
	It("stalls and cuts answers at one target", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(time.Second)
		Expect(f.Targets[0].SetFaults(standin.TargetFaults{CutFraction: 0.5})).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(f.Targets[0].SetFaults(standin.TargetFaults{StallFraction: 1})).To(Succeed())
		calls.expectRecovery()
		calls.check()
	})

	// Guards against a graceful stop that interrupts requests in flight, at the
	// node that stops or at other nodes that use its targets.
	It("completes long requests in flight when a node stops", func() {
		f := startFleet(twoByTwo)
		long, ok := f.FindKind(func(k processtest.Kind) bool { return k.Long && !k.Keyed })
		Expect(ok).To(BeTrue(), "the bundle has a long idempotent class")
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

	// Guards against a graceful stop that loses keyed operations, or runs them
	// twice, while their ranges are handed over.
	It("loses and repeats no keyed operation when a node stops and restarts", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		time.Sleep(time.Second)
		Expect(f.Nodes[2].Stop()).To(Succeed())
		Expect(f.Restart(f.Nodes[2])).To(Succeed())
		calls.expectRecovery()
		calls.check()
	})

	// Guards against rollouts that are lost or applied twice when the platform
	// loses answers, and against calls that fail while the platform is
	// unavailable.
	It("rolls out and answers calls while the platform is slow, loses answers or is down", func() {
		f := startFleet(twoByTwo)
		calls := startTraffic(f)
		expectVersion := func(version uint64) {
			GinkgoHelper()
			Eventually(f.BundleVersions).WithTimeout(5 * time.Second).WithPolling(50 * time.Millisecond).Should(HaveEach(version))
		}
		expectVersion(1)
		Expect(f.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 0.5})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 2)).To(Succeed(), "while answers are lost")
		expectVersion(2)
		Expect(f.Platform.SetFaults(standin.PlatformFaults{Delay: standin.Duration(400 * time.Millisecond)})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 3)).To(Succeed(), "while the platform is slow")
		expectVersion(3)
		Expect(f.Platform.SetFaults(standin.PlatformFaults{Down: true})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 4)).NotTo(Succeed(), "while the platform is down")
		time.Sleep(time.Second)
		Expect(f.BundleVersions()).To(HaveEach(uint64(3)))
		Expect(f.Platform.SetFaults(standin.PlatformFaults{StaleReads: standin.Duration(3 * time.Second)})).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		Expect(f.BundleVersions()).To(HaveEach(uint64(3)), "a stale read restores no older version")
		Expect(f.Platform.SetFaults(standin.PlatformFaults{})).To(Succeed())
		Expect(f.Rollout(f.BundleFile(), 4)).To(Succeed(), "after the platform is back")
		expectVersion(4)
		calls.expectRecovery()
		calls.check()
	})
})
