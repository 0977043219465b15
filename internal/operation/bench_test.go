package operation

import (
	"fmt"
	"testing"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// BenchmarkUnknownShare reports, for each kind of failure, the share of all
// reported outcomes that were "unknown" or "not run", the share of the
// operations whose last reported outcome was "unknown", and the share of the
// keys that ran more than once. For comparison it also reports figures of a
// fleet without ownership. Each iteration runs one schedule of 30 s per fleet.
func BenchmarkUnknownShare(b *testing.B) {
	kinds := append([]fault{"none"}, allFaults...)
	for _, kind := range kinds {
		b.Run(string(kind), func(b *testing.B) {
			figures := map[mutation]*outcomeCounts{correct: {}, noOwnership: {}}
			for i := range b.N {
				for m, f := range figures {
					opt := simOptions{seed: uint64(i + 1), mutation: m, length: 30 * time.Second, callers: 100, plain: true}
					if kind != "none" {
						opt.faults = []fault{kind}
					}
					f.runSchedule(opt)
				}
			}
			withOwnership, withoutOwnership := figures[correct], figures[noOwnership]
			b.ReportMetric(withOwnership.percent(withOwnership.unknown, withOwnership.reported), "unknown_%")
			b.ReportMetric(withOwnership.percent(withOwnership.unknownAtEnd, withOwnership.operations), "unknown_end_%")
			b.ReportMetric(withOwnership.percent(withOwnership.ranTwice, withOwnership.keys), "ran_twice_%")
			b.ReportMetric(withOwnership.percent(withOwnership.notRun, withOwnership.reported), "not_run_%")
			b.ReportMetric(withoutOwnership.percent(withoutOwnership.unknown, withoutOwnership.reported), "naive_unknown_%")
			b.ReportMetric(withoutOwnership.percent(withoutOwnership.ranTwice, withoutOwnership.keys), "naive_ran_twice_%")
		})
	}
}

type outcomeCounts struct{ reported, unknown, notRun, operations, unknownAtEnd, keys, ranTwice int }

func (f *outcomeCounts) runSchedule(opt simOptions) {
	s := newSim(opt)
	s.run()
	last := map[string]fleet.Outcome{}
	for _, t := range s.reportedOutcomes {
		last[t.key] = t.outcome
		f.reported++
		switch t.outcome {
		case fleet.Unknown:
			f.unknown++
		case fleet.NotRun:
			f.notRun++
		}
	}
	for _, o := range last {
		f.operations++
		if o == fleet.Unknown {
			f.unknownAtEnd++
		}
	}
	for _, runs := range s.runs {
		f.keys++
		if len(runs) > 1 {
			f.ranTwice++
		}
	}
}

func (*outcomeCounts) percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}

// BenchmarkTable measures the decisions about one operation that runs.
func BenchmarkTable(b *testing.B) {
	cfg := DefaultConfig()
	lease := &fakeLease{held: true}
	table := NewTable("s", cfg, lease)
	now := ClockReading{Wall: simEpoch}
	table.Assign(now, VersionedAssignment{Version: 1, Assignment: NewAssignment("s", cfg.Ranges, nil, "a", 1)}, "a", 1)
	body := []byte("answer")
	b.ReportAllocs()
	for i := range b.N {
		now.Wall = now.Wall.Add(20 * time.Millisecond)
		r := Request{Key: keyCreatedAt(now.Wall, uint64(i)), ReceivedAt: now.Wall}
		v := table.Submit(now, r)
		if v.Kind != Run {
			b.Fatalf("%v %v", v.Kind, v.Reason)
		}
		r.Run = v.Run
		if !table.MayDispatch(now, r) {
			b.Fatal("no lease")
		}
		table.Complete(now, r, Answer{Status: 200, Body: body})
	}
}

// BenchmarkTick measures the control work of one service: a tick of both state
// machines with 256 ranges and 24 members, where this node owns its share of
// the ranges.
func BenchmarkTick(b *testing.B) {
	s := newSim(simOptions{seed: 1, nodes: 24, length: 60 * time.Second, script: func(s *sim) {
		s.cfg.Ranges = 256
		for _, n := range s.nodes {
			s.scheduleGlobal(0, n.start)
		}
	}})
	s.run()
	n := s.nodes[0]
	if owns := n.svc.owner.OwnedRanges(); owns == 0 {
		b.Fatal("the node owns nothing")
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		n.m.apply(n.svc, Tick{})
	}
	b.ReportMetric(float64(n.svc.owner.OwnedRanges()), "ranges")
}

func BenchmarkLocate(b *testing.B) {
	m := NewManager("a", 1, DefaultConfig(), nil, nil, NewClock(), nil)
	value, err := NewAssignment("s", 256, nil, "a", 1).Encode()
	if err != nil {
		b.Fatal(err)
	}
	if err := m.HandleAssignment(Object{Key: ObjectKey("s"), Version: 1, Value: value}); err != nil {
		b.Fatal(err)
	}
	key := Key{Service: "s", Tenant: "t", Value: keyCreatedAt(simEpoch, 1).Value}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, _, ok := m.Locate(key); !ok {
				panic(fmt.Sprint("unknown ", key))
			}
		}
	})
}
