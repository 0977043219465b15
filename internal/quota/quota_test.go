package quota

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/bundle"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

func TestQuota(t *testing.T) {
	// A fixed seed makes rapid generate the same cases on every run; a soak plays
	// many more, from a new seed.
	name, value := "rapid.seed", "20261206"
	if os.Getenv("SISKINVALE_SOAK") != "" {
		name, value = "rapid.checks", "20000"
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var testConfig = Config{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

var _ = Describe("the bound", func() {
	// Guards against grants beyond the quota while owners die, restart, leave or
	// are cut off, datagrams are lost, late or doubled, and limits change.
	It("holds in every window of random schedules", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			quota := bundle.Quota{
				RequestsPerSecond: rapid.Float64Range(1, 300).Draw(t, "rate"),
				Burst:             rapid.Float64Range(1, 500).Draw(t, "burst"),
			}
			s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 14).Draw(t, "nodes"), testConfig, quota)
			if rapid.Bool().Draw(t, "unreachable") {
				s.anyNode().unreachable = s.ranked("org")[0]
			}
			s.loss = rapid.SampledFrom([]float64{0, 0, 0.02, 0.3}).Draw(t, "loss")
			s.delay = rapid.SampledFrom([]time.Duration{ms, 5 * ms, 80 * ms}).Draw(t, "delay")
			hot := rapid.SampledFrom([]float64{0.6, 2, 8}).Draw(t, "demand")
			spread := rapid.IntRange(1, len(s.nodes)).Draw(t, "callers")
			s.poisson("org", func() float64 { return hot * quota.RequestsPerSecond }, func() *simNode { return s.nodes[s.rnd.IntN(spread)] })
			s.runUntil(2 * time.Second)
			for range rapid.IntRange(0, 8).Draw(t, "faults") {
				// Owners are hit most often, since other nodes matter little.
				node := s.anyNode()
				if rapid.Bool().Draw(t, "owner") {
					node = s.ranked("org")[rapid.IntRange(0, 1).Draw(t, "rank")]
				}
				s.fault(rapid.SampledFrom(faults).Draw(t, "fault"), node)
				s.runUntil(s.now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*ms)
			}
			s.runUntil(s.now + 8*time.Second)
			if used, at := s.worst("org"); used > 1 {
				t.Fatalf("%.2f of the tolerance used in the window that ends at %v; quota %+v", used, at, quota)
			}
		})
	})
})

// Guards against two nodes that grant the same quota, because a node that has
// restarted begins before the one that stands in for it knows of it.
var _ = Describe("the owner of a quota", func() {
	It("is one node at a time while nodes are killed and restart", func() {
		for seed := range uint64(40) {
			s := newSim(seed, 4+int(seed%8), testConfig, bundle.Quota{RequestsPerSecond: 100, Burst: 10})
			s.loss = float64(seed%4) / 10
			org := orgHash("org")
			s.every(5*ms, func() {
				var owners []fleet.NodeID
				for _, n := range s.nodes {
					if n.machine != nil && n.machine.members.grants(s.now) && n.machine.members.standing(s.now, org).owner {
						owners = append(owners, n.id)
					}
				}
				Expect(len(owners)).To(BeNumerically("<=", 1), "seed %d: %v at %v", seed, owners, s.now)
			})
			s.runUntil(2 * time.Second)
			for range 6 {
				s.fault("kill and restart", s.ranked("org")[s.rnd.IntN(2)])
				if s.rnd.IntN(2) == 0 {
					s.fault("kill half", nil)
				}
				s.runUntil(s.now + s.between(0, 4*time.Second))
			}
			s.runUntil(s.now + 8*time.Second)
		}
	})
})

var faults = []string{"kill", "kill and restart", "leave", "cut", "halve", "heal", "lower", "raise", "kill half"}

func (s *sim) fault(kind string, n *simNode) {
	switch kind {
	case "kill":
		s.kill(n)
	case "kill and restart":
		s.kill(n)
		s.after(s.between(50*ms, 3*time.Second), func() { s.restart(n) })
	case "leave":
		s.leave(n)
		s.after(s.between(3*time.Second, 4*time.Second), func() { s.restart(n) })
	case "cut":
		s.divide([]*simNode{n}, 1+slices.Index(s.nodes, n))
	case "halve":
		var part []*simNode
		for _, n := range s.nodes {
			if n.group == 0 && s.rnd.IntN(2) == 0 {
				part = append(part, n)
			}
		}
		s.divide(part, 100)
	case "heal":
		s.heal()
	case "lower", "raise":
		q := s.quota("org")
		if kind == "lower" {
			q.RequestsPerSecond, q.Burst = q.RequestsPerSecond/8, max(q.Burst/8, 1)
		} else {
			q.RequestsPerSecond, q.Burst = min(2*q.RequestsPerSecond, 600), 2*q.Burst
		}
		s.quotas["org"] = append(s.quotas["org"], quotaChange{s.now, q})
	case "kill half":
		for _, n := range s.nodes {
			if s.rnd.IntN(2) == 0 {
				s.kill(n)
				s.after(s.between(200*ms, 1500*ms), func() { s.restart(n) })
			}
		}
	}
}

var _ = Describe("demand within the quota", func() {
	quota := bundle.Quota{RequestsPerSecond: 20, Burst: 30}
	refused := func(s *sim) int { return s.unknown["org"] + len(s.rejected["org"]) }
	settled := func(nodes int, q bundle.Quota) *sim {
		s := newSim(7, nodes, testConfig, q)
		s.runUntil(6 * time.Second)
		return s
	}

	// Guards against shares by node: all callers of an organisation come to two
	// of 95 nodes.
	It("is granted if all callers come to two nodes", func() {
		s := settled(95, quota)
		s.poisson("org", func() float64 { return 12 }, func() *simNode { return s.nodes[3+s.rnd.IntN(2)] })
		s.runUntil(60 * time.Second)
		Expect(len(s.granted["org"])).To(BeNumerically(">", 500))
		Expect(refused(s)).To(BeZero())
	})

	// Guards against shares that follow demand too slowly.
	It("is granted if the callers move to other nodes each second", func() {
		s := settled(95, quota)
		s.poisson("org", func() float64 { return 12 }, func() *simNode { return s.nodes[int(s.now/time.Second)*7%95] })
		s.runUntil(60 * time.Second)
		Expect(refused(s)).To(BeZero())
	})

	// Guards against grants in advance that use up the burst: requests come in
	// clumps at 95 nodes, and one bucket beside all nodes would refuse none.
	It("is granted if it comes in clumps at all nodes", func() {
		for seed := range uint64(20) {
			s := newSim(seed, 95, testConfig, quota)
			s.runUntil(6 * time.Second)
			tokens, last, excess := quota.Burst, s.now, 0
			var clump func()
			clump = func() {
				s.after(time.Duration(s.rnd.ExpFloat64()*float64(500*ms)), func() {
					tokens = min(tokens+quota.RequestsPerSecond*(s.now-last).Seconds(), quota.Burst)
					last = s.now
					for range 6 {
						s.request(s.anyNode(), "org")
						if tokens--; tokens < 0 {
							tokens = 0
							excess++
						}
					}
					clump()
				})
			}
			clump()
			s.runUntil(60 * time.Second)
			Expect(len(s.granted["org"])).To(BeNumerically(">", 400))
			Expect(refused(s)).To(BeNumerically("<=", excess), "seed %d", seed)
		}
	})

	// Guards against a round trip for each request of organisations whose quota
	// is far above their demand.
	It("needs few messages if the quota is far above it", func() {
		s := settled(20, bundle.Quota{RequestsPerSecond: 2000, Burst: 1000})
		s.poisson("org", func() float64 { return 200 }, func() *simNode { return s.nodes[s.rnd.IntN(3)] })
		s.runUntil(30 * time.Second)
		Expect(len(s.granted["org"])).To(BeNumerically(">", 4000))
		Expect(refused(s)).To(BeZero())
		Expect(float64(s.messages) / float64(len(s.granted["org"]))).To(BeNumerically("<", 0.2))
	})

	// Guards against a node that refuses all requests of an organisation because
	// it alone does not reach the owner.
	It("is granted at a node that reaches the owner only through others", func() {
		s := settled(20, quota)
		ranked := s.ranked("org")
		ranked[5].unreachable, ranked[6].unreachable = ranked[0], ranked[0]
		s.poisson("org", func() float64 { return 12 }, func() *simNode { return ranked[5+s.rnd.IntN(2)] })
		s.runUntil(60 * time.Second)
		Expect(len(s.granted["org"])).To(BeNumerically(">", 500))
		Expect(refused(s)).To(BeZero())
	})

	// Guards against a lost datagram that keeps the only other node from being
	// asked.
	It("is granted if a datagram between two nodes is lost", func() {
		s := settled(2, quota)
		other := s.ranked("org")[1]
		s.loss = 1
		s.request(other, "org")
		s.runUntil(s.now + 50*ms)
		s.loss = 0
		for range 10 {
			s.runUntil(s.now + 100*ms)
			s.request(other, "org")
		}
		s.runUntil(s.now + 500*ms)
		Expect(refused(s)).To(BeZero())
	})

	// Guards against refusals after one node of many has failed.
	It("is refused only until the next owner is known if the owner dies", func() {
		s := settled(20, quota)
		s.poisson("org", func() float64 { return 12 }, s.anyNode)
		s.runUntil(20 * time.Second)
		before := refused(s)
		s.kill(s.ranked("org")[0])
		s.runUntil(25 * time.Second)
		Expect(before).To(BeZero())
		Expect(refused(s)).To(BeNumerically("<", 30))
		late := refused(s)
		s.runUntil(40 * time.Second)
		Expect(refused(s)).To(Equal(late))
	})

	// Guards against requests that are lost while an owner is replaced in a
	// planned way.
	It("is granted while a node that outranks the owner joins", func() {
		s := settled(20, bundle.Quota{RequestsPerSecond: 20, Burst: 30})
		first := s.ranked("org")[0]
		s.kill(first)
		s.poisson("org", func() float64 { return 12 }, s.anyNode)
		s.runUntil(20 * time.Second)
		before := refused(s)
		s.restart(first)
		s.runUntil(40 * time.Second)
		Expect(refused(s) - before).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("demand above the quota", func() {
	// Guards against callers that return together: their Retry-After are the
	// places of a queue that drains at the rate of the quota.
	It("is rejected at once with times that spread the return", func() {
		s := newSim(3, 20, testConfig, bundle.Quota{RequestsPerSecond: 20, Burst: 20})
		s.runUntil(6 * time.Second)
		s.poisson("org", func() float64 { return 84 }, s.anyNode)
		s.runUntil(16 * time.Second)
		granted := len(s.granted["org"])
		Expect(granted).To(BeNumerically("~", 220, 20))
		Expect(s.unknown["org"]).To(BeZero())
		rejected := s.rejected["org"]
		Expect(rejected).NotTo(BeEmpty())
		Expect(rejected[0].RetryAfter).To(BeNumerically("~", 50*ms, 30*ms))
		Expect(rejected[len(rejected)-1].RetryAfter).To(Equal(maxRetryAfter))
		perSecond := make(map[int]int)
		for _, d := range rejected[:100] {
			perSecond[int(d.RetryAfter/time.Second)]++
		}
		for second, n := range perSecond {
			Expect(n).To(BeNumerically("<=", 40), "in second %d", second)
		}
	})

	// Guards against tokens and grants of the former limit that are used up
	// after a limit was lowered.
	It("follows a limit that is lowered far below it", func() {
		s := newSim(4, 20, testConfig, bundle.Quota{RequestsPerSecond: 100, Burst: 200})
		s.poisson("org", func() float64 { return 60 }, s.anyNode)
		s.runUntil(20 * time.Second)
		s.quotas["org"] = append(s.quotas["org"], quotaChange{s.now, bundle.Quota{RequestsPerSecond: 5, Burst: 5}})
		s.runUntil(40 * time.Second)
		used, _ := s.worst("org")
		Expect(used).To(BeNumerically("<=", 1))
		after := slices.IndexFunc(s.granted["org"], func(t time.Duration) bool { return t > 22*time.Second })
		Expect(len(s.granted["org"]) - after).To(BeNumerically("<=", 18*5+25))
	})
})

var _ = Describe("Machine", func() {
	// Guards against a node that is cut off together with its callers and grants
	// what it owned before.
	It("grants nothing as an owner that has lost contact", func() {
		s := newSim(5, 10, testConfig, bundle.Quota{RequestsPerSecond: 50, Burst: 50})
		s.runUntil(6 * time.Second)
		first := s.ranked("org")[0]
		s.divide([]*simNode{first}, 1)
		s.runUntil(8 * time.Second)
		for range 20 {
			s.request(first, "org")
		}
		s.runUntil(9 * time.Second)
		Expect(len(s.granted["org"])).To(BeNumerically("<=", int(testConfig.share(s.quota("org")).reserve)))
		Expect(s.unknown["org"]).To(BeNumerically(">", 0))
	})

	// Guards against a burst that an owner, or its successor, grants although the
	// other may have granted it.
	DescribeTable("does not use the tokens of the time", func(rank int, stop func(*sim, *simNode)) {
		s := newSim(5, 10, testConfig, bundle.Quota{RequestsPerSecond: 50, Burst: 200})
		s.runUntil(8 * time.Second)
		ranked := s.ranked("org")
		stop(s, ranked[0])
		s.runUntil(11 * time.Second)
		s.heal()
		s.runUntil(s.now + 700*ms)
		for range 200 {
			s.request(ranked[rank], "org")
		}
		s.runUntil(s.now + 50*ms)
		Expect(len(s.granted["org"])).To(And(BeNumerically(">", 0), BeNumerically("<=", 150)))
	},
		Entry("in which its process was stopped", 0, func(s *sim, n *simNode) {
			n.group = 1
			s.notice(n)
		}),
		Entry("before it took the place of a dead owner", 1, (*sim).kill),
	)

	// Guards against parts of a divided fleet that speed up before the owners of
	// other parts have stopped, and that keep the whole burst for later.
	It("raises its rate a second after the fleet is whole again, without a burst", func() {
		s := newSim(5, 10, testConfig, bundle.Quota{RequestsPerSecond: 10, Burst: 200})
		s.runUntil(30 * time.Second)
		ranked := s.ranked("org")
		m := ranked[0].machine
		for range 100 {
			s.request(ranked[0], "org")
		}
		s.divide(ranked[5:], 1)
		s.runUntil(34 * time.Second)
		s.heal()
		s.runUntil(s.now + 950*ms)
		Expect(m.members.scaleNow).To(Equal(0.5))
		s.runUntil(s.now + time.Second)
		d := m.Describe(s.now, "org")
		Expect(d.Scale).To(Equal(1.0))
		Expect(d.Tokens).To(BeNumerically("<=", 150))
	})

	// Guards against a node that starts in one part of a divided fleet, does not
	// know of the other part and grants the whole quota.
	It("grants a part of the quota if it starts while other nodes are cut off", func() {
		s := newSim(5, 10, testConfig, bundle.Quota{RequestsPerSecond: 50, Burst: 50})
		s.runUntil(6 * time.Second)
		first := s.ranked("org")[0]
		s.kill(first)
		s.divide(s.ranked("org")[1:6], 1)
		s.runUntil(10 * time.Second)
		s.start(first)
		s.join(first)
		s.runUntil(12 * time.Second)
		d := first.machine.Describe(s.now, "org")
		Expect(d.Scale).To(Equal(0.5))
		Expect(d.Order[0]).To(Equal(first.id))
		Expect(d.Owner).To(BeTrue())
		Expect(d.Tokens).To(BeNumerically("<=", 25+testConfig.share(s.quota("org")).prefetch))
	})

	// Guards against grants in advance to many nodes that are used together with
	// a full bucket, and against those of an owner to one node that asks often.
	It("bounds the unexpired grants in advance of all nodes together", func() {
		q := bundle.Quota{RequestsPerSecond: 1000, Burst: 1000}
		s := newSim(9, 2, testConfig, q)
		s.runUntil(20 * time.Second)
		o := s.ranked("org")[0].machine.owner
		var extra []int
		for i := range 10_000 {
			now := s.now + time.Duration(i)*2*ms
			o.members.heard(now)
			extra = append(extra, o.take(now, "org", q, 1, false, query{node: 1 + uint64(i%6), sequence: uint64(i)}).extra)
		}
		worst := 0
		for i := range len(extra) - 6 {
			// Each of six nodes holds what it got by its latest query.
			outstanding := 0
			for _, n := range extra[i : i+6] {
				outstanding += n
			}
			worst = max(worst, outstanding)
		}
		Expect(worst).To(BeNumerically(">", 0))
		Expect(float64(worst)).To(BeNumerically("<=", testConfig.share(q).prefetch))
	})

	// Guards against answers that are delayed until a later window.
	It("does not use an answer that is older than its validity", func() {
		s := newSim(10, 2, testConfig, bundle.Quota{RequestsPerSecond: 100, Burst: 100})
		s.runUntil(6 * time.Second)
		node := s.ranked("org")[1].machine
		_, w, sends := node.Take(s.now, "org", s.quota("org"))
		sequence := sends[0].Query.GetSequence()
		node.Answer(s.now+maxAnswerAge, &controlv1.QuotaAnswer{Sequence: sequence, Grants: []*controlv1.QuotaGrant{
			{Organisation: "org", Granted: 1, ValidMs: 2000},
		}})
		Expect(w.Decided).NotTo(Receive())
		node.Tick(s.now + waitLimit)
		Expect(w.Decided).To(Receive(HaveField("Unknown", true)))
	})

	// Guards against a single node that waits for others.
	It("grants the quota at once on the only node", func() {
		q := bundle.Quota{RequestsPerSecond: 1, Burst: 1}
		m := New("a", true, Config{Window: time.Second}, func(string) (bundle.Quota, bool) { return q, true }, 0)
		for _, granted := range []bool{true, false} {
			_, w, sends := m.Take(2*time.Second, "org", q)
			Expect(sends).To(BeEmpty())
			Expect(w.Decided).To(Receive(HaveField("Granted", granted)))
		}
	})

	// Guards against a caller that left and whose place is granted later.
	It("keeps a grant for a request that was abandoned or did not run", func() {
		s := newSim(6, 3, testConfig, bundle.Quota{RequestsPerSecond: 1, Burst: 1})
		s.runUntil(6 * time.Second)
		node := s.ranked("org")[1]
		_, w, sends := node.machine.Take(s.now, "org", s.quota("org"))
		Expect(w).NotTo(BeNil())
		node.machine.Abandon(w)
		s.send(node, slices.Clone(sends))
		s.runUntil(s.now + 50*ms)
		d, w, _ := node.machine.Take(s.now, "org", s.quota("org"))
		Expect(w).To(BeNil())
		Expect(d.Granted).To(BeTrue())
		node.machine.Return(s.now, "org", d)
		d, w, _ = node.machine.Take(s.now, "org", s.quota("org"))
		Expect(w).To(BeNil())
		Expect(d.Granted).To(BeTrue())
		node.machine.Return(d.Expires, "org", d)
		_, w, _ = node.machine.Take(d.Expires, "org", s.quota("org"))
		Expect(w).NotTo(BeNil())
	})

	// Guards against state that grows with the organisations ever seen.
	It("drops the state of organisations that are not in use", func() {
		s := newSim(8, 2, testConfig, bundle.Quota{RequestsPerSecond: 10, Burst: 10})
		s.runUntil(6 * time.Second)
		for i := range 1000 {
			name := fmt.Sprintf("org-%d", i)
			s.quotas[name] = s.quotas["org"]
			s.request(s.nodes[i%2], name)
		}
		s.runUntil(6*time.Second + 50*ms)
		m := s.nodes[0].machine
		Expect(len(m.owner.buckets)).To(BeNumerically(">", 100))
		s.runUntil(30 * time.Second)
		Expect(m.owner.buckets).To(BeEmpty())
		Expect(m.demands).To(BeEmpty())
	})
})

// Measures a request that is granted from requests granted in advance.
func BenchmarkTakeGrantedInAdvance(b *testing.B) {
	quota := bundle.Quota{RequestsPerSecond: 1000, Burst: 1000}
	m := New("a", true, testConfig, func(string) (bundle.Quota, bool) { return quota, true }, 0)
	d := &demand{machine: m, hash: orgHash("org"), quota: quota, share: testConfig.share(quota)}
	d.unused[0] = grant{n: 1 << 30, expires: time.Hour}
	m.demands["org"] = d
	b.ReportAllocs()
	for b.Loop() {
		if decision, _, _ := m.Take(time.Second, "org", quota); !decision.Granted {
			d.unused[0].n = 1 << 30
		}
	}
}

// Measures the answer of an owner in a fleet of 95 nodes.
func BenchmarkQuery(b *testing.B) {
	s := newSim(1, 95, testConfig, bundle.Quota{RequestsPerSecond: 1000, Burst: 1000})
	s.runUntil(6 * time.Second)
	owner := s.ranked("org")[0].machine
	q := &controlv1.QuotaQuery{Sequence: 1, Requests: []*controlv1.QuotaRequest{{Organisation: "org", Wanted: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		s.now += ms
		owner.Heard(s.now)
		owner.Query(s.now, "n-1", "n-1", q)
	}
}

// Measures the memory of an owner with 250,000 organisations in use.
func BenchmarkOwnerMemory(b *testing.B) {
	const organisations = 250_000
	quota := bundle.Quota{RequestsPerSecond: 10, Burst: 10}
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%d", i)
	}
	for b.Loop() {
		m := New("a", true, testConfig, func(string) (bundle.Quota, bool) { return quota, true }, 0)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for _, name := range names {
			m.owner.take(time.Second, name, quota, 1, false, query{node: 1, sequence: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/organisations, "B/organisation")
		runtime.KeepAlive(m)
	}
}
