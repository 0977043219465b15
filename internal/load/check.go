package load

import (
	"fmt"
	"sort"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/standin"
)

// Findings are the contradictions between the responses that callers received
// and the operations that the targets ran.
type Findings struct {
	// Duplicates lists the keys that were run more than once.
	Duplicates []string
	// FalseNotRun lists the keys that were run although a caller received the
	// outcome not-run.
	FalseNotRun []string
	// NeverRun lists the keys that were answered with status 200 but not run.
	NeverRun []string
}

// Empty reports whether there are no contradictions.
func (f Findings) Empty() bool {
	return len(f.Duplicates)+len(f.FalseNotRun)+len(f.NeverRun) == 0
}

// Check compares the histories of callers with the operation logs of all
// targets. logsLost states that a target exited and its log was lost, so that a
// missing entry proves nothing.
func Check(history []History, operations []standin.Operation, logsLost bool) Findings {
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
			f.Duplicates = append(f.Duplicates, fmt.Sprintf("%s: run %d times, first at %s, again %s later", key, len(ops),
				ops[0].StartedAt.Format(time.StampMilli), ops[1].StartedAt.Sub(ops[0].StartedAt)))
		}
	}
	for _, record := range history {
		ops := runs[record.Request.Key]
		for _, op := range ops {
			if a, contradicted := contradictedNotRun(record, op); contradicted {
				f.FalseNotRun = append(f.FalseNotRun, fmt.Sprintf("%s: run at %s, reported as not run at %s by %s",
					record.Request.Key, op.StartedAt.Format(time.StampMilli), a.ResponseAt.Format(time.StampMilli), a.Node))
			}
		}
		if last := record.Last(); len(ops) == 0 && !logsLost && last.Err == nil && last.Outcome == fleet.Answered && last.Status == 200 {
			f.NeverRun = append(f.NeverRun, record.Request.Key)
		}
	}
	return f
}

// contradictedNotRun finds an attempt with the outcome not-run that op
// contradicts: the run began before the caller received that outcome, or began
// later although no later attempt had been sent.
func contradictedNotRun(record History, op standin.Operation) (Attempt, bool) {
	for i, a := range record.Attempts {
		if a.Err != nil || a.Outcome != fleet.NotRun {
			continue
		}
		if !op.StartedAt.After(a.ResponseAt) {
			return a, true
		}
		if i+1 == len(record.Attempts) || record.Attempts[i+1].SentAt.After(op.StartedAt) {
			return a, true
		}
	}
	return Attempt{}, false
}
