package operation

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

// at schedules a step of a script and names it in the trace.
func (s *sim) at(t time.Duration, what string, f func()) {
	s.world(t, func() {
		fmt.Fprintf(s.opt.trace, "%7.3fs -- %s\n", s.now.Seconds(), what)
		f()
	})
}

// golden compares the session of the script with its golden file and returns
// the simulation for further checks.
func golden(name string, nodes int, length time.Duration, script func(s *sim)) *sim {
	var trace strings.Builder
	s := newSim(simOptions{seed: 1, nodes: nodes, length: length, trace: &trace, script: func(s *sim) {
		for i, n := range s.nodes {
			s.world(time.Duration(i)*10*time.Millisecond, n.start)
		}
		script(s)
	}})
	s.run()
	goldie.New(suite).Assert(suite, name, []byte(trace.String()))
	return s
}

// holders returns which nodes hold each range.
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

// Guards the sequences of the lease and handover protocol against unintended
// changes. Each session also checks who holds the ranges at its end.
var _ = Describe("sessions", func() {
	It("race to create a service, and even shares", func() {
		s := golden("create", 3, 12*time.Second, func(*sim) {})
		Expect(s.holders()).To(ConsistOf("n0", "n0", "n1", "n2"))
	})
	It("owner lost: the standby takes over after promise and margin", func() {
		s := golden("owner-lost", 2, 20*time.Second, func(s *sim) {
			s.at(12*time.Second, "n0 is lost", func() { s.nodes[0].end(time.Hour) })
		})
		Expect(s.holders()).To(HaveEach("n1"))
	})
	It("standby lost: the owner replaces it", func() {
		s := golden("standby-lost", 3, 18*time.Second, func(s *sim) {
			s.at(12*time.Second, "n1 is lost", func() { s.nodes[1].end(time.Hour) })
		})
		Expect(s.holders()).To(HaveEach(BeElementOf("n0", "n2")))
	})
	It("node restarts at once: its ranges move on, and its promises are renewed in a later epoch", func() {
		s := golden("restart", 2, 25*time.Second, func(s *sim) {
			s.at(12*time.Second, "n1 restarts", func() { s.nodes[1].end(200 * time.Millisecond) })
		})
		Expect(s.holders()).To(ConsistOf("n0", "n0", "n1", "n1"))
	})
	It("drain: everything is handed over with its records", func() {
		s := golden("drain", 3, 16*time.Second, func(s *sim) {
			s.at(12*time.Second, "n0 drains", s.nodes[0].drain)
		})
		Expect(s.holders()).To(HaveEach(BeElementOf("n1", "n2")))
	})
	It("unhealthy target: its ranges are handed over and come back", func() {
		s := golden("unhealthy", 2, 30*time.Second, func(s *sim) {
			s.at(12*time.Second, "n0 has no healthy target", func() { s.nodes[0].sick = true })
			s.at(18*time.Second, "n0 has healthy targets again", func() { s.nodes[0].sick = false })
		})
		Expect(s.holders()).To(ConsistOf("n0", "n0", "n1", "n1"))
	})
	It("platform away: leases go on, and a handover is completed afterwards", func() {
		s := golden("platform-away", 2, 60*time.Second, func(s *sim) {
			s.at(12*time.Second, "platform is away for 30 s", func() {
				s.platform.downFrom, s.platform.downTo = 12*time.Second, 42*time.Second
			})
			s.at(30*time.Second, "n0 drains", func() { s.nodes[0].drains = true; s.nodes[0].m.draining = true })
		})
		Expect(s.holders()).To(HaveEach("n1"))
	})
	It("lost answer of a takeover: settled by reading back", func() {
		s := golden("lost-answer", 2, 25*time.Second, func(s *sim) {
			s.at(12*time.Second, "n0 is lost; the answer to the next write is lost", func() {
				s.platform.loseNext = true
				s.nodes[0].end(time.Hour)
			})
		})
		Expect(s.holders()).To(HaveEach("n1"))
	})
	It("target joins: ranges move to it by handover", func() {
		s := golden("join", 3, 32*time.Second, func(s *sim) {
			s.nodes[2].sick = true
			s.at(14*time.Second, "n2 gets a target", func() { s.nodes[2].sick = false })
		})
		Expect(s.holders()).To(ContainElement("n2"))
	})
	It("owner paused past its lease: it holds nothing when it continues", func() {
		s := golden("paused", 2, 25*time.Second, func(s *sim) {
			s.at(12*time.Second, "n0 is paused for 6 s", func() { s.nodes[0].paused = 18 * time.Second })
			s.at(17999*time.Millisecond, "n1 owns all", func() { Expect(s.nodes[1].svc.owner.Owns()).To(Equal(s.cfg.Ranges)) })
		})
		Expect(s.holders()).NotTo(ContainElement(ContainSubstring("+")))
	})
	It("owner and standby lost together: an operator releases the ranges", func() {
		s := golden("operator-release", 4, 40*time.Second, func(s *sim) {
			s.at(14*time.Second, "n0 and n1 are lost", func() { s.nodes[0].end(time.Hour); s.nodes[1].end(time.Hour) })
			s.at(25*time.Second, "an operator releases the ranges at n2", func() { Expect(s.nodes[2].m.ReleaseUnowned(simService)).To(Succeed()) })
		})
		Expect(s.holders()).To(HaveEach(BeElementOf("n2", "n3")))
	})
})
