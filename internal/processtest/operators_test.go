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

// effectTimeout bounds the wait until a node shows the effect of an operator's
// command.
const effectTimeout = 15 * time.Second

// operators runs commands of siskinvalectl against one node of a fleet.
type operators struct{ fleet *processtest.Fleet }

// table returns the printed form of a successful command.
func (o operators) table(args ...string) string {
	GinkgoHelper()
	out, err := o.fleet.Operate(args...)
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Printf("$ siskinvalectl %s\n%s\n", strings.Join(args, " "), out)
	return out
}

// json returns the JSON form of a successful command.
func (o operators) json(args ...string) map[string]any {
	GinkgoHelper()
	var result map[string]any
	Expect(json.Unmarshal([]byte(o.table(append(args, "--output", "json")...)), &result)).To(Succeed())
	return result
}

// refused runs a command that must end with the given exit code.
func (o operators) refused(code string, args ...string) string {
	GinkgoHelper()
	_, err := o.fleet.Operate(args...)
	Expect(err).To(MatchError(ContainSubstring("exit status " + code)))
	GinkgoWriter.Printf("$ siskinvalectl %s\n%v\n", strings.Join(args, " "), err)
	return err.Error()
}

// targetState returns a target's line in the JSON form of the targets.
func (o operators) targetState(id string) string {
	GinkgoHelper()
	for _, line := range o.json("targets")["targets"].([]any) {
		if target := line.(map[string]any)["target"].(map[string]any); target["id"] == id {
			return target["state"].(string)
		}
	}
	return "missing"
}

var _ = Describe("siskinvalectl", func() {
	// Guards against commands that work with fakes alone, and against a drain
	// that the list of targets does not show at once.
	It("shows and changes a running fleet", func() {
		f := startFleet(processtest.Config{DataCentres: 2})
		o := operators{f}
		first, local := f.Nodes[0], f.Nodes[0].Targets[0]

		By("status")
		Eventually(f.Operate).WithArguments("bundle", "status").WithTimeout(effectTimeout).
			Should(Equal("version 1 is in force on 2 of 2 nodes\n"))
		Expect(o.json("bundle", "status")).To(And(HaveKeyWithValue("inForce", 2.0), HaveKeyWithValue("lagging", BeEmpty())))
		Expect(o.refused("1", "bundle", "status", "--want", "7")).To(ContainSubstring("LAGGING NODE"))
		Expect(o.table("node", "status")).To(And(
			ContainSubstring("node node-1-1: alive; bundle magnolia version 1"), ContainSubstring("platform reachable"),
			ContainSubstring("log level info"), MatchRegexp(`node-2-1 +region-1 +dc-2 +alive +1 `)))
		Expect(o.json("node", "status")).To(And(HaveKeyWithValue("bundleVersion", "1"),
			HaveKeyWithValue("self", HaveKeyWithValue("operatorAddr", first.Operators))))

		By("targets and drain")
		Expect(o.table("targets", "--service", "booking")).To(And(
			MatchRegexp(local.ID+` +booking +node-1-1 +dc-1 +serving +healthy +100%`), Not(ContainSubstring("catalog"))))
		Expect(o.refused("1", "targets", "--service", "bookings")).To(ContainSubstring("bookings"))
		Expect(o.table("node", "drain", "--target", local.ID)).To(Equal("target " + local.ID + " is draining\n"))
		Expect(o.targetState(local.ID)).To(Equal("TARGET_STATE_DRAINING"))
		Expect(o.json("node", "undrain", "--target", local.ID)).To(HaveKeyWithValue("state", "serving"))
		Expect(o.targetState(local.ID)).To(Equal("TARGET_STATE_SERVING"))
		Expect(o.table("node", "drain")).To(Equal("all targets of node " + first.Operators + " are draining\n"))
		Expect(o.targetState(local.ID)).To(Equal("TARGET_STATE_DRAINING"))
		Expect(o.table("node", "undrain")).To(HaveSuffix("are serving\n"))
		Expect(o.targetState(local.ID)).To(Equal("TARGET_STATE_SERVING"))
		Expect(o.refused("1", "node", "drain", "--target", "none")).To(ContainSubstring("none"))

		By("explain")
		Expect(o.table("explain", "get", "http://booking.example/v1/kits/1", "--tenant", "crew")).To(And(
			HavePrefix("service booking, class lookup, bundle version 1\n"), ContainSubstring("target "+local.ID+" on node-1-1 (dc-1)")))
		Expect(o.table("explain", "POST", "/v1/holds", "--service", "booking", "--idempotency-key", load.NewKey())).To(
			MatchRegexp(`key: owned by node node-[12]-1 in epoch \d+`))
		Expect(o.json("explain", "GET", "/v1/kits/1", "--service", "booking")).To(HaveKeyWithValue("class", "lookup"))
		Expect(o.table("explain", "GET", "/nowhere", "--service", "booking")).To(And(
			ContainSubstring("no class"), ContainSubstring("answered 404, not-run")))

		By("log level")
		Expect(o.table("node", "log-level", "debug")).To(ContainSubstring("is debug, was info"))
		Expect(o.json("node", "log-level", "info")).To(And(HaveKeyWithValue("previous", "debug"), HaveKeyWithValue("level", "info")))
		Expect(o.refused("2", "node", "log-level", "loud")).To(ContainSubstring("the levels are"))
		Expect(o.refused("2", "node", "log-level", "panic")).To(ContainSubstring("hide alarms"))

		By("release of operations")
		Expect(o.refused("2", "operations", "release", "booking")).To(And(ContainSubstring("--yes"), ContainSubstring("run twice")))
		Expect(o.table("operations", "release", "booking", "--yes")).To(ContainSubstring("booking"))
		Expect(o.refused("1", "operations", "release", "bookings", "--yes")).To(ContainSubstring(`no service "bookings"`))
		Expect(o.refused("1", "operations", "release", "catalog", "--yes")).To(ContainSubstring("no class with keyed operations"))

		By("diff and rollback")
		Expect(f.Rollout(f.BundleFile(), 2)).To(Succeed())
		back := filepath.Join(f.Dir(), "back.yaml")
		Expect(o.table("bundle", "rollback", "--to", "1", "--out", back)).To(ContainSubstring("content of version 1 as version 3"))
		Expect(o.table("bundle", "diff", filepath.Join(f.Dir(), "bundle-2.yaml"), back)).To(Equal("~ version: 2 -> 3\n"))
		Expect(o.json("bundle", "diff", filepath.Join(f.Dir(), "bundle-1.yaml"), back)["changes"]).To(HaveLen(1))
		Expect(os.Remove(back)).To(Succeed())
		Eventually(f.Operate).WithArguments("bundle", "status", "--want", "2").WithTimeout(effectTimeout).
			Should(ContainSubstring("2 of 2 nodes"))
	})

	// Guards against a release that is accepted and changes nothing: ranges
	// whose owner and standby are both lost must be owned and run again.
	It("releases the key ranges of two nodes that are lost together", func() {
		f := startFleet(processtest.Config{DataCentres: 3})
		o := operators{f}
		survivor := f.Nodes[0]
		caller := load.NewCaller("counter-app", 2*time.Second)
		defer caller.Close()
		hold, ok := f.Kind(func(k processtest.Kind) bool { return k.Keyed })
		Expect(ok).To(BeTrue())
		for _, n := range f.Nodes {
			Expect(f.WaitAnswered(caller, n, hold)).To(Succeed())
		}
		// The fault needs ranges whose owner and standby are the two nodes that
		// are killed.
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
		o.table("operations", "release", "booking", "--yes")
		Eventually(survivor.Log).WithTimeout(effectTimeout).Should(ContainSubstring("ranges-owned-again"))
		// Keys that are new after the release run; WaitAnswered uses fresh ones.
		for range 20 {
			Expect(f.WaitAnswered(caller, survivor, hold)).To(Succeed())
		}
	})
})
