package operation

import (
	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// historyInput is one request with all runs of its key. If the outcome of the
// request is unknown, it may have caused any one of them.
type historyInput struct {
	key  string
	runs []execution
}

// atMostOnce models one key as a register that is written once: it is empty
// until the operation runs, and then holds the answer of that run.
var atMostOnce = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(historyInput).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		t := output.(reportedOutcome)
		switch {
		case t.outcome == fleet.Answered && (state == "" || state == t.answer):
			return []any{t.answer}
		case t.outcome == fleet.NotRun && state == "":
			return []any{""}
		case t.outcome == fleet.Unknown:
			states := []any{state}
			if state == "" {
				for _, run := range input.(historyInput).runs {
					states = append(states, run.answer)
				}
			}
			return states
		default:
			return nil
		}
	},
	Equal: func(x, y any) bool { return x == y },
}).ToModel()

// history converts the requests of a schedule to operations. A request whose
// outcome is unknown may take effect until the end of the schedule.
func (s *sim) history() []porcupine.Operation {
	var history []porcupine.Operation
	for i, t := range s.allRequests {
		end := t.at
		if t.outcome == fleet.Unknown {
			end = s.opt.length
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: historyInput{t.key, s.runs[t.key]}, Call: int64(t.askedAt), Output: *t, Return: int64(end) + 1,
		})
	}
	return history
}

// Guards against answers that contradict each other although each of them
// passes the checks of sim.violations.
var _ = Describe("histories", func() {
	It("are linearizable", func() {
		forSeeds(200/seedDivisor, func(seed uint64) simOptions { return schedule(1_000_000+seed, correct) }, func(seed uint64, s *sim) {
			Expect(porcupine.CheckOperations(atMostOnce, s.history())).To(BeTrue(), "seed %d", 1_000_000+seed)
		})
	})
	It("of a fleet without ownership are not linearizable", func() {
		linearizable := 0
		forSeeds(10, func(seed uint64) simOptions { return schedule(seed, noOwnership) }, func(_ uint64, s *sim) {
			if porcupine.CheckOperations(atMostOnce, s.history()) {
				linearizable++
			}
		})
		Expect(linearizable).To(BeNumerically("<", 10))
	})
})
