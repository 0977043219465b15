package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// advance moves a target that is out of traffic towards its return; own is what
// this node's attempts at it saw. The floor
// is not concerned: targets on probation do not count for it.
func (t *target) advance(now time.Time, own *sourceEvidence) []Action {
	switch t.verdict.State {
	case Healthy:
		if t.verdict.Held && t.severity < clearSeverity {
			t.verdict = Verdict{State: Healthy, Share: 1}
		}
		if t.severity == 0 && now.Sub(t.since) >= strikeMemory {
			t.strikes = 0
		}
	case Ejected, Avoided:
		if now.Before(t.until) || t.stuck(now) {
			return nil
		}
		t.forget()
		t.step = 0
		return []Action{t.probation(now, fmt.Sprintf("share %.0f%% after %s out of traffic", probationShares[0]*100, now.Sub(t.since).Round(tickTime)))}
	case Probation:
		if t.severity >= probationSeverity {
			return []Action{t.out(now, t.reason+"; on probation")}
		}
		took := now.Sub(t.since)
		enough := t.work >= probationWork
		if t.avoided { // only answers to this node speak for the path
			enough = own != nil && own.answered(now, t.since)
		}
		if took < probationTime || !enough && took < probationPatience {
			return nil
		}
		if t.step++; t.step < len(probationShares) {
			return []Action{t.probation(now, fmt.Sprintf("share %.0f%% after %.0f answers in %s", probationShares[t.step]*100, t.work, took.Round(tickTime)))}
		}
		t.verdict, t.since, t.avoided = Verdict{State: Healthy, Share: 1}, now, false
		return []Action{Readmit{t.record.ID, 1, fmt.Sprintf("probation passed with %.0f answers in %s", t.work, took.Round(tickTime))}}
	}
	return nil
}

// stuck reports whether present evidence still speaks against the target, for
// example because work that stalled before the ejection is still in flight.
func (t *target) stuck(now time.Time) bool {
	for _, e := range t.classes {
		if e.known(now) && e.Oldest > 0 && slices.Max(e.scores) >= probationSeverity {
			return true
		}
	}
	return false
}

// forget drops the evidence that led to an ejection.
func (t *target) forget() {
	for _, e := range t.classes {
		clear(e.scores)
		e.fast, e.slow, e.Total = rate{}, rate{}, 0
	}
	clear(t.sources)
	t.severity, t.lost = 0, 0
}

func (t *target) probation(now time.Time, reason string) Action {
	t.verdict = Verdict{State: Probation, Share: probationShares[t.step], Reason: reason}
	t.since, t.work = now, 0
	return Readmit{t.record.ID, t.verdict.Share, reason}
}

// out takes the target out of traffic: by avoidance when only the path from
// this node is bad, else by ejection.
func (t *target) out(now time.Time, reason string) Action {
	t.strikes++
	t.until = now.Add(min(backoffBase<<min(t.strikes-1, 10), backoffCap))
	t.since, t.avoided = now, t.path
	if t.path {
		t.verdict = Verdict{State: Avoided, Severity: t.lost, Reason: reason}
		return Avoid{t.record.ID, reason}
	}
	t.verdict = Verdict{State: Ejected, Severity: t.lost, Reason: reason}
	return Eject{t.record.ID, reason}
}

// hold lets an unhealthy target serve because of the floor.
func (t *target) hold(floor int) {
	t.verdict = Verdict{State: Healthy, Share: 1, Held: true, Severity: t.lost, Reason: fmt.Sprintf("floor %d: %s", floor, t.reason)}
}

// enforce ejects condemned targets, worst first, and keeps the floor: after it
// returns, at least the smaller of the floor and the number of serving targets
// are Healthy. Targets on probation do not count because they carry little.
func (s *service) enforce(now time.Time) []Action {
	var serving, condemned, out []*target
	healthy := 0
	for _, t := range s.targets {
		if t.record.State != fleet.TargetServing {
			continue
		}
		serving = append(serving, t)
		switch {
		case t.verdict.State != Healthy:
			out = append(out, t)
		case t.severity >= 1:
			condemned = append(condemned, t)
			healthy++
		default:
			healthy++
		}
	}
	floor := min(s.floorOf(len(serving)), len(serving))
	// Worst first; least bad first for those that are out.
	slices.SortStableFunc(condemned, func(a, b *target) int {
		return cmp.Or(cmp.Compare(b.lost, a.lost), cmp.Compare(b.severity, a.severity))
	})
	slices.SortStableFunc(out, func(a, b *target) int { return cmp.Compare(a.badness(), b.badness()) })

	var actions []Action
	readmitted := 0
	for ; healthy < floor; healthy++ {
		actions = append(actions, out[readmitted].readmit(now, floor))
		readmitted++
	}
	out = out[readmitted:]
	for len(condemned) > 0 && healthy > floor {
		actions = append(actions, condemned[0].out(now, condemned[0].reason))
		condemned = condemned[1:]
		healthy--
	}
	// Targets on probation come back by themselves, or not at all.
	out = slices.DeleteFunc(out, func(t *target) bool { return t.verdict.State == Probation })
	if len(condemned) > 0 && len(out) > 0 && condemned[0].lost > out[0].badness()+swapMargin {
		actions = append(actions, out[0].readmit(now, floor), condemned[0].out(now, condemned[0].reason))
		condemned = condemned[1:]
	}
	for _, t := range condemned {
		t.hold(floor)
	}
	return append(actions, s.reportFloor(floor, len(serving))...)
}

// floorOf returns the floor of the service with n serving targets. A service
// without a floor of its own keeps half of what is expected.
func (s *service) floorOf(n int) int {
	if s.floor > 0 {
		return s.floor
	}
	return (max(s.expected, n) + 1) / 2
}

// badness orders targets that are out of traffic: probation, then ejected by
// the lost work, then avoided, because an unreachable target helps nobody here.
func (t *target) badness() float64 {
	switch t.verdict.State {
	case Probation:
		return t.lost - 1
	case Avoided:
		return avoidedBadness
	default:
		return t.verdict.Severity
	}
}

// readmit brings a target back into full traffic because of the floor. Its
// evidence stays at the limit, so that good answers clear it soon and it goes
// first when the floor allows ejections again.
func (t *target) readmit(now time.Time, floor int) Action {
	for _, e := range t.classes {
		for i := range e.scores {
			e.scores[i] = min(e.scores[i], 1)
		}
	}
	if t.verdict.State != Probation || t.severity > 0 {
		if t.reason == "" {
			t.reason = t.verdict.Reason
		}
		t.hold(floor)
	} else {
		t.verdict = Verdict{State: Healthy, Share: 1}
	}
	t.since = now
	return Readmit{t.record.ID, 1, fmt.Sprintf("floor %d: needed in traffic", floor)}
}

// reportFloor emits FloorReached when the floor begins to hold targets.
func (s *service) reportFloor(floor, serving int) []Action {
	held := 0
	for _, t := range s.targets {
		if t.verdict.Held && t.record.State == fleet.TargetServing {
			held++
		}
	}
	was := s.holding
	s.holding = held > 0
	if !s.holding || was {
		return nil
	}
	return []Action{FloorReached{s.name, fmt.Sprintf("floor %d of %d serving targets: %d unhealthy ones go on serving", floor, serving, held)}}
}
