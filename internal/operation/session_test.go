package operation

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// scriptStep schedules a step of a script and writes its description to the
// trace.
func (s *sim) scriptStep(t time.Duration, description string, f func()) {
	s.scheduleGlobal(t, func() {
		fmt.Fprintf(s.opt.trace, "%7.3fs -- %s\n", s.now.Seconds(), description)
		f()
	})
}

// runSession runs the script, compares its trace with the golden file, and
// returns the simulation for further checks.
func runSession(name string, nodes int, length time.Duration, script func(s *sim)) *sim {
	var trace strings.Builder
	s := newSim(simOptions{seed: 1, nodes: nodes, length: length, trace: &trace, script: func(s *sim) {
		for i, n := range s.nodes {
			s.scheduleGlobal(time.Duration(i)*10*time.Millisecond, n.start)
		}
		script(s)
	}})
	s.run()
	goldie.New(suite).Assert(suite, name, []byte(trace.String()))
	return s
}

// holders returns, for each range, the nodes that hold it.
func (s *sim) holders() []string {
	var all []string
	for i := range s.cfg.Ranges {
		var nodes []string
		for _, n := range s.nodes {
			if n.alive && n.svc.owner != nil {
				if _, ok := n.svc.owner.Holds(i, n.Now()); ok {
					nodes = append(nodes, string(n.id))
				}
			}
		}
		all = append(all, strings.Join(nodes, "+"))
	}
	return all
}

// Guards the message sequences of the lease and handover protocol against
// unintended changes. Each session also checks which nodes hold the ranges at
// its end.
var _ = Describe("sessions", func() {
	It("nodes race to create a service: one succeeds, and the shares become even", func() {
		s := runSession("create", 3, 12*time.Second, func(*sim) {})
		Expect(s.holders()).To(ConsistOf("n0", "n0", "n1", "n2"))
	})
	It("owner lost: the standby takes over after the promise and the margin", func() {
		s := runSession("owner-lost", 2, 20*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n0 is lost", func() { s.nodes[0].endProcess(time.Hour) })
		})
		Expect(s.holders()).To(HaveEach("n1"))
	})
	It("standby lost: the owner replaces it", func() {
		s := runSession("standby-lost", 3, 18*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n1 is lost", func() { s.nodes[1].endProcess(time.Hour) })
		})
		Expect(s.holders()).To(HaveEach(BeElementOf("n0", "n2")))
	})
	It("node restarts immediately: its ranges go to the standby, and it makes new promises in a later epoch", func() {
		s := runSession("restart", 2, 25*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n1 restarts", func() { s.nodes[1].endProcess(200 * time.Millisecond) })
		})
		Expect(s.holders()).To(ConsistOf("n0", "n0", "n1", "n1"))
	})
	It("drain: all ranges are handed over with their records", func() {
		s := runSession("drain", 3, 16*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n0 drains", s.nodes[0].drain)
		})
		Expect(s.holders()).To(HaveEach(BeElementOf("n1", "n2")))
	})
	It("unhealthy target: the node's ranges are handed over and come back", func() {
		s := runSession("unhealthy", 2, 30*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n0 has no healthy target", func() { s.nodes[0].unhealthy = true })
			s.scriptStep(18*time.Second, "n0 has healthy targets again", func() { s.nodes[0].unhealthy = false })
		})
		Expect(s.holders()).To(ConsistOf("n0", "n0", "n1", "n1"))
	})
	It("platform unavailable: leases are still renewed, and a handover is completed afterwards", func() {
		s := runSession("platform-away", 2, 60*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "platform is away for 30 s", func() {
				s.platform.downFrom, s.platform.downTo = 12*time.Second, 42*time.Second
			})
			s.scriptStep(30*time.Second, "n0 drains", func() { s.nodes[0].draining = true; s.nodes[0].m.draining = true })
		})
		Expect(s.holders()).To(HaveEach("n1"))
	})
	It("lost answer to the write of a takeover: the writer reads the object to learn the result", func() {
		s := runSession("lost-answer", 2, 25*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n0 is lost; the answer to the next write is lost", func() {
				s.platform.loseNextAnswer = true
				s.nodes[0].endProcess(time.Hour)
			})
		})
		Expect(s.holders()).To(HaveEach("n1"))
	})
	It("target joins: ranges move to its node by handover", func() {
		s := runSession("join", 3, 32*time.Second, func(s *sim) {
			s.nodes[2].unhealthy = true
			s.scriptStep(14*time.Second, "n2 gets a target", func() { s.nodes[2].unhealthy = false })
		})
		Expect(s.holders()).To(ContainElement("n2"))
	})
	It("owner paused past its lease: it holds nothing when it continues", func() {
		s := runSession("paused", 2, 25*time.Second, func(s *sim) {
			s.scriptStep(12*time.Second, "n0 is paused for 6 s", func() { s.nodes[0].pausedUntil = 18 * time.Second })
			s.scriptStep(17999*time.Millisecond, "n1 owns all", func() { Expect(s.nodes[1].svc.owner.OwnedRanges()).To(Equal(s.cfg.Ranges)) })
		})
		Expect(s.holders()).NotTo(ContainElement(ContainSubstring("+")))
	})
	It("owner and standby lost together: an operator releases the ranges", func() {
		s := runSession("operator-release", 4, 40*time.Second, func(s *sim) {
			s.scriptStep(14*time.Second, "n0 and n1 are lost", func() { s.nodes[0].endProcess(time.Hour); s.nodes[1].endProcess(time.Hour) })
			s.scriptStep(25*time.Second, "an operator releases the ranges at n2", func() { Expect(s.nodes[2].m.ReleaseUnowned(simService)).To(Succeed()) })
		})
		Expect(s.holders()).To(HaveEach(BeElementOf("n2", "n3")))
	})
})
