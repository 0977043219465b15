package load

import (
	"fmt"
	"sort"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/standin"
)

// Findings are the contradictions between what callers were told and what the
// targets ran.
type Findings struct {
	// Duplicates are keys that were run more than once.
	Duplicates []string
	// UntrueNotRun are keys that were run although the caller was told that
	// they were not.
	UntrueNotRun []string
	// NeverRun are keys that were answered with 200 but not run.
	NeverRun []string
}

// Empty reports whether there is no contradiction.
func (f Findings) Empty() bool {
	return len(f.Duplicates)+len(f.UntrueNotRun)+len(f.NeverRun) == 0
}

// Check compares histories with the operation logs of all targets. logsLost
// says that a target ended together with its log, so that nothing follows from
// a missing entry.
func Check(history []Told, operations []standin.Operation, logsLost bool) Findings {
	runs := map[string][]standin.Operation{}
	for _, op := range operations {
		if op.Key != "" {
			runs[op.Key] = append(runs[op.Key], op)
		}
	}
	var f Findings
	for key, ops := range runs {
		if len(ops) > 1 {
			sort.Slice(ops, func(i, j int) bool { return ops[i].StartedAt.Before(ops[j].StartedAt) })
			f.Duplicates = append(f.Duplicates, fmt.Sprintf("%s: run %d times, %s and %s after the first", key, len(ops),
				ops[0].StartedAt.Format(time.StampMilli), ops[1].StartedAt.Sub(ops[0].StartedAt)))
		}
	}
	for _, told := range history {
		ops := runs[told.Request.Key]
		for _, op := range ops {
			if a, untrue := untrueNotRun(told, op); untrue {
				f.UntrueNotRun = append(f.UntrueNotRun, fmt.Sprintf("%s: run at %s, told at %s by %s that it was not run",
					told.Request.Key, op.StartedAt.Format(time.StampMilli), a.Told.Format(time.StampMilli), a.Node))
			}
		}
		if last := told.Last(); len(ops) == 0 && !logsLost && last.Err == nil && last.Outcome == fleet.Answered && last.Status == 200 {
			f.NeverRun = append(f.NeverRun, told.Request.Key)
		}
	}
	return f
}

// untrueNotRun finds the statement "not run" that op contradicts: the run
// began before the statement, or after it without a later attempt.
func untrueNotRun(told Told, op standin.Operation) (Attempt, bool) {
	for i, a := range told.Attempts {
		if a.Err != nil || a.Outcome != fleet.NotRun {
			continue
		}
		if !op.StartedAt.After(a.Told) {
			return a, true
		}
		if i+1 == len(told.Attempts) || told.Attempts[i+1].Sent.After(op.StartedAt) {
			return a, true
		}
	}
	return Attempt{}, false
}
