package processtest_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/processtest"
	"siskinvale.dev/siskinvale/internal/standin"
)

// abandonEnv is an environment variable. If it is set, the test binary starts
// stand-ins, prints their process ids and exits without stopping them.
const abandonEnv = "SISKINVALE_PROCESSTEST_ABANDON"

func TestProcesstest(t *testing.T) {
	if os.Getenv(abandonEnv) != "" {
		abandon(t)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "processtest")
}

var _ = AfterSuite(processtest.RemoveBinaries)

var (
	lookups = processtest.Kind{Service: "booking", Class: "lookups", Method: "GET", Prefix: "/kits/"}
	holds   = processtest.Kind{Service: "booking", Class: "holds", Method: "POST", Prefix: "/holds/", Keyed: true}
	kinds   = []processtest.Kind{lookups, holds}
)

// abandon starts a fleet of stand-ins, pauses the targets, prints the process
// ids and exits. The paused targets cannot end by themselves.
func abandon(t *testing.T) {
	fleet := processtest.Start(t, processtest.Config{StandinsOnly: true, Kinds: kinds})
	processtest.RemoveBinaries()
	fmt.Println("pid", fleet.Platform.PID())
	for _, target := range fleet.Targets {
		target.Pause()
		fmt.Println("pid", target.PID())
	}
	os.RemoveAll(fleet.Dir())
	os.Exit(0)
}

// alive reports whether a process with this id exists.
func alive(pid int) bool { return syscall.Kill(pid, 0) == nil }

var _ = Describe("Fleet", func() {
	// Guards against processes that go on running after the test process was
	// killed or panicked.
	It("leaves no process running when the process that started it ends", func() {
		cmd := exec.Command(os.Args[0], "-test.run=^TestProcesstest$")
		cmd.Env = append(os.Environ(), abandonEnv+"=1")
		out, err := cmd.StdoutPipe()
		Expect(err).NotTo(HaveOccurred())
		Expect(cmd.Start()).To(Succeed())
		var pids []int
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if pid, ok := parsePID(lines.Text()); ok {
				pids = append(pids, pid)
			}
		}
		Expect(cmd.Wait()).To(Succeed())
		Expect(pids).To(HaveLen(2))
		for _, pid := range pids {
			Eventually(alive).WithArguments(pid).WithTimeout(5 * time.Second).Should(BeFalse())
		}
	})

	// Guards against stand-ins that cannot be stopped, killed or paused, and
	// against OperationLogs reporting complete logs after a target and its
	// operation log were lost.
	It("starts, pauses, kills and stops processes", func() {
		fleet := processtest.Start(GinkgoT(), processtest.Config{StandinsOnly: true, DataCentres: 2, NodesPerDataCentre: 2, Kinds: kinds, TargetLinks: true})
		Expect(fleet.Targets).To(HaveLen(4))
		first, second := fleet.Targets[0], fleet.Targets[1]
		caller := load.NewCaller("magnolia", time.Second)
		defer caller.Close()
		send := func(t *processtest.Target) load.Attempt {
			// An answer that comes directly from a target stand-in has no
			// Siskinvale-Outcome header; no other error is expected.
			return caller.Do(context.Background(), holds.Request(1), 0, t.URL).Last()
		}
		Expect(send(first)).To(And(HaveField("Status", 200), HaveField("Err", MatchError(load.ErrNoOutcome))))
		Expect(first.Pause()).To(Succeed())
		Expect(send(first).Status).To(BeZero())
		Expect(first.Continue()).To(Succeed())
		Eventually(func() int { return send(first).Status }).WithTimeout(10 * time.Second).Should(Equal(200))
		Expect(second.SetFaults(standin.TargetFaults{ErrorFraction: 1})).To(Succeed())
		Expect(send(second).Status).To(Equal(500))
		Expect(second.Link.SetFaults(standin.LinkFaults{Forward: standin.DirectionFaults{Drop: 1}})).To(Succeed())

		ops, complete, err := fleet.OperationLogs()
		Expect(err).NotTo(HaveOccurred())
		Expect(complete).To(BeTrue())
		Expect(len(ops)).To(BeNumerically(">=", 3))
		second.Kill()
		_, complete, err = fleet.OperationLogs()
		Expect(err).NotTo(HaveOccurred())
		Expect(complete).To(BeFalse())
		Expect(fleet.Stop()).To(Succeed())
		Expect(alive(first.PID())).To(BeFalse())
		Expect(fleet.Dir()).NotTo(BeADirectory())
	})
})

// parsePID parses a line of the form "pid 123".
func parsePID(line string) (int, bool) {
	var text string
	if _, err := fmt.Sscanf(line, "pid %s", &text); err != nil {
		return 0, false
	}
	pid, err := strconv.Atoi(text)
	return pid, err == nil
}
