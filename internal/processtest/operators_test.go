package processtest_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/processtest"
)

// effectTimeout is the maximum wait until the effect of an operator's command
// is visible at a node.
const effectTimeout = 15 * time.Second

// ctlRunner runs commands of siskinvalectl against the first running node of a
// fleet.
type ctlRunner struct{ fleet *processtest.Fleet }

// text runs a command that must succeed and returns its standard output.
func (r ctlRunner) text(args ...string) string {
	GinkgoHelper()
	out, err := r.fleet.RunCtlOnFleet(args...)
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Printf("$ siskinvalectl %s\n%s\n", strings.Join(args, " "), out)
	return out
}

// json runs a command with JSON output that must succeed and returns the
// decoded output.
func (r ctlRunner) json(args ...string) map[string]any {
	GinkgoHelper()
	var result map[string]any
	Expect(json.Unmarshal([]byte(r.text(append(args, "--output", "json")...)), &result)).To(Succeed())
	return result
}

// expectExit runs a command that must fail with the given exit code, and
// returns the error with the command's output.
func (r ctlRunner) expectExit(code string, args ...string) string {
	GinkgoHelper()
	_, err := r.fleet.RunCtlOnFleet(args...)
	Expect(err).To(MatchError(ContainSubstring("exit status " + code)))
	GinkgoWriter.Printf("$ siskinvalectl %s\n%v\n", strings.Join(args, " "), err)
	return err.Error()
}

// targetState returns the state of a target in the list of targets, or
// "missing" if the list lacks the target.
func (r ctlRunner) targetState(id string) string {
	GinkgoHelper()
	for _, line := range r.json("targets")["targets"].([]any) {
		if target := line.(map[string]any)["target"].(map[string]any); target["id"] == id {
			return target["state"].(string)
		}
	}
	return "missing"
}

var _ = Describe("siskinvalectl", func() {
	// Guards against commands that work with test doubles but not with a real
	// fleet, and against a drain that the list of targets does not show at
	// once.
	It("shows and changes the state of a running fleet", func() {
		f := startFleet(processtest.Config{DataCentres: 2})
		ctl := ctlRunner{f}
		first, local := f.Nodes[0], f.Nodes[0].Targets[0]

		By("status")
		Eventually(f.RunCtlOnFleet).WithArguments("bundle", "status").WithTimeout(effectTimeout).
			Should(Equal("version 1 is in force on 2 of 2 nodes\n"))
		Expect(ctl.json("bundle", "status")).To(And(HaveKeyWithValue("inForce", 2.0), HaveKeyWithValue("lagging", BeEmpty())))
		Expect(ctl.expectExit("1", "bundle", "status", "--want", "7")).To(ContainSubstring("LAGGING NODE"))
		Expect(ctl.text("node", "status")).To(And(
			ContainSubstring("node node-1-1: alive; bundle magnolia version 1"), ContainSubstring("platform reachable"),
			ContainSubstring("log level info"), MatchRegexp(`node-2-1 +region-1 +dc-2 +alive +1 `)))
		Expect(ctl.json("node", "status")).To(And(HaveKeyWithValue("bundleVersion", "1"),
			HaveKeyWithValue("self", HaveKeyWithValue("operatorAddr", first.OperatorsAddress))))

		By("targets and drain")
		Expect(ctl.text("targets", "--service", "booking")).To(And(
			MatchRegexp(local.ID+` +booking +node-1-1 +dc-1 +serving +healthy +100%`), Not(ContainSubstring("catalog"))))
		Expect(ctl.expectExit("1", "targets", "--service", "bookings")).To(ContainSubstring("bookings"))
		Expect(ctl.text("node", "drain", "--target", local.ID)).To(Equal("target " + local.ID + " is draining\n"))
		Expect(ctl.targetState(local.ID)).To(Equal("TARGET_STATE_DRAINING"))
		Expect(ctl.json("node", "undrain", "--target", local.ID)).To(HaveKeyWithValue("state", "serving"))
		Expect(ctl.targetState(local.ID)).To(Equal("TARGET_STATE_SERVING"))
		Expect(ctl.text("node", "drain")).To(Equal("all targets of node " + first.OperatorsAddress + " are draining\n"))
		Expect(ctl.targetState(local.ID)).To(Equal("TARGET_STATE_DRAINING"))
		Expect(ctl.text("node", "undrain")).To(HaveSuffix("are serving\n"))
		Expect(ctl.targetState(local.ID)).To(Equal("TARGET_STATE_SERVING"))
		Expect(ctl.expectExit("1", "node", "drain", "--target", "none")).To(ContainSubstring("none"))

		By("explain")
		Expect(ctl.text("explain", "get", "http://booking.example/v1/kits/1", "--tenant", "crew")).To(And(
			HavePrefix("service booking, class lookup, bundle version 1\n"), ContainSubstring("target "+local.ID+" on node-1-1 (dc-1)")))
		Expect(ctl.text("explain", "POST", "/v1/holds", "--service", "booking", "--idempotency-key", load.NewKey())).To(
			MatchRegexp(`key: owned by node node-[12]-1 in epoch \d+`))
		Expect(ctl.json("explain", "GET", "/v1/kits/1", "--service", "booking")).To(HaveKeyWithValue("class", "lookup"))
		Expect(ctl.text("explain", "GET", "/nowhere", "--service", "booking")).To(And(
			ContainSubstring("no class"), ContainSubstring("answered 404, not-run")))

		By("log level")
		Expect(ctl.text("node", "log-level", "debug")).To(ContainSubstring("is debug, was info"))
		Expect(ctl.json("node", "log-level", "info")).To(And(HaveKeyWithValue("previous", "debug"), HaveKeyWithValue("level", "info")))
		Expect(ctl.expectExit("2", "node", "log-level", "loud")).To(ContainSubstring("the levels are"))
		Expect(ctl.expectExit("2", "node", "log-level", "panic")).To(ContainSubstring("hide alarms"))

		By("release of operations")
		Expect(ctl.expectExit("2", "operations", "release", "booking")).To(And(ContainSubstring("--yes"), ContainSubstring("run twice")))
		Expect(ctl.text("operations", "release", "booking", "--yes")).To(ContainSubstring("booking"))
		Expect(ctl.expectExit("1", "operations", "release", "bookings", "--yes")).To(ContainSubstring(`no service "bookings"`))
		Expect(ctl.expectExit("1", "operations", "release", "catalog", "--yes")).To(ContainSubstring("no class with keyed operations"))

		By("diff and rollback")
		Expect(f.Rollout(f.BundleFile(), 2)).To(Succeed())
		rollbackFile := filepath.Join(f.Dir(), "back.yaml")
		Expect(ctl.text("bundle", "rollback", "--to", "1", "--out", rollbackFile)).To(ContainSubstring("content of version 1 as version 3"))
		Expect(ctl.text("bundle", "diff", filepath.Join(f.Dir(), "bundle-2.yaml"), rollbackFile)).To(Equal("~ version: 2 -> 3\n"))
		Expect(ctl.json("bundle", "diff", filepath.Join(f.Dir(), "bundle-1.yaml"), rollbackFile)["changes"]).To(HaveLen(1))
		Expect(os.Remove(rollbackFile)).To(Succeed())
		Eventually(f.RunCtlOnFleet).WithArguments("bundle", "status", "--want", "2").WithTimeout(effectTimeout).
			Should(ContainSubstring("2 of 2 nodes"))
	})

	// Guards against a release of operations that is accepted but has no
	// effect. Key ranges whose owner and standby are both killed must get an
	// owner again, and operations on them must run.
	It("releases the key ranges of two nodes that are killed together", func() {
		f := startFleet(processtest.Config{DataCentres: 3})
		ctl := ctlRunner{f}
		survivor := f.Nodes[0]
		caller := load.NewCaller("counter-app", 2*time.Second)
		defer caller.Close()
		hold, ok := f.FindKind(func(k processtest.Kind) bool { return k.Keyed })
		Expect(ok).To(BeTrue())
		for _, n := range f.Nodes {
			Expect(f.WaitAnswered(caller, n, hold)).To(Succeed())
		}
		// Some ranges must have the two nodes that are killed as owner and
		// standby.
		Eventually(func() (lost int, err error) {
			assignment, err := f.Assignment(hold.Service)
			for _, r := range assignment.Ranges {
				if string(r.Owner) != survivor.ID && string(r.Standby) != survivor.ID && r.Standby != "" {
					lost++
				}
			}
			return lost, err
		}).WithTimeout(2 * effectTimeout).Should(BeNumerically(">", 0))
		f.Nodes[1].Kill()
		f.Nodes[2].Kill()
		Eventually(survivor.Log).WithTimeout(effectTimeout).Should(ContainSubstring(`"name":"range-has-no-owner"`))
		Expect(survivor.Log()).NotTo(ContainSubstring("ranges-owned-again"))
		ctl.text("operations", "release", "booking", "--yes")
		Eventually(survivor.Log).WithTimeout(effectTimeout).Should(ContainSubstring("ranges-owned-again"))
		// Operations with keys made after the release must run. WaitAnswered
		// makes a new key for each call.
		for range 20 {
			Expect(f.WaitAnswered(caller, survivor, hold)).To(Succeed())
		}
	})
})
